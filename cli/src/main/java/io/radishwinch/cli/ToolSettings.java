package io.radishwinch.cli;

import io.radishwinch.config.ConfigError;
import io.radishwinch.config.YamlDocument;
import io.radishwinch.config.YamlMapping;
import io.vavr.control.Either;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of the tool.
 *
 * @param deployment name of the deployment in reports
 * @param routers routers as host:port
 * @param keyFile file with the operator's key, or an empty string
 * @param trustFile PEM certificates that may sign the routers' certificates, or an empty string
 * @param output {@code text} or {@code json}
 */
record ToolSettings(String deployment, List<String> routers, String keyFile, String trustFile, String output) {
    private static final String DEFAULT_PATH = ".config/radishwinch/tool.yaml";
    private static final int MAX_ROUTERS = 100;

    /** Returns the settings of the file and of the options, which take precedence. */
    static ToolSettings load(CommonOptions options, Environment environment) {
        Path path = options.config.isEmpty()
                ? environment.home().resolve(DEFAULT_PATH)
                : environment.resolve(options.config);
        ToolSettings fromFile = new ToolSettings("radishwinch", List.of(), "", "", "text");
        if (Files.exists(path)) {
            fromFile = read(path);
        } else if (!options.config.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "the file " + options.config + " does not exist", "");
        }
        ToolSettings merged = new ToolSettings(
                fromFile.deployment,
                options.routers.isEmpty() ? fromFile.routers : List.copyOf(options.routers),
                options.keyFile.isEmpty() ? fromFile.keyFile : options.keyFile,
                options.trustFile.isEmpty() ? fromFile.trustFile : options.trustFile,
                options.output.isEmpty() ? fromFile.output : options.output);
        if (!merged.output.equals("text") && !merged.output.equals("json")) {
            throw new CliException(ExitCode.USAGE, "--output must be text or json, found " + merged.output, "");
        }
        return merged;
    }

    private static ToolSettings read(Path path) {
        Either<List<ConfigError>, ToolSettings> result = read(path.toString(), TextFiles.read(path, path.toString()));
        if (result.isLeft()) {
            throw new CliException(ExitCode.INVALID, result.getLeft().get(0).toString(), "correct the tool settings");
        }
        ToolSettings settings = result.get();
        return new ToolSettings(
                settings.deployment,
                settings.routers,
                resolveAgainstSettings(path, settings.keyFile),
                resolveAgainstSettings(path, settings.trustFile),
                settings.output);
    }

    /** Reads tool settings, or returns their faults in document order. */
    static Either<List<ConfigError>, ToolSettings> read(String file, String text) {
        return YamlDocument.read(file, text, ToolSettings::fromYaml);
    }

    private static ToolSettings fromYaml(YamlMapping root) {
        List<String> routers = root.texts("routers");
        if (routers.size() > MAX_ROUTERS) {
            root.fault("routers", "at most " + MAX_ROUTERS + " routers", "");
        }
        String output = root.text("output", "text");
        if (!output.equals("text") && !output.equals("json")) {
            root.fault("output", "must be text or json", "");
        }
        return new ToolSettings(
                root.text("deployment", "radishwinch"),
                routers,
                root.text("keyFile", ""),
                root.text("trustFile", ""),
                output);
    }

    /** Resolves a path of the settings against their directory. */
    private static String resolveAgainstSettings(Path settings, String path) {
        return path.isEmpty()
                ? ""
                : settings.toAbsolutePath().resolveSibling(path).toString();
    }

    /** Returns the operator's key. */
    String operatorKey(CommonOptions options, Environment environment) {
        String variable = environment.variables().getOrDefault(Environment.KEY_VARIABLE, "");
        boolean isKeyFileOption = !options.keyFile.isEmpty();
        if (!variable.isBlank() && !isKeyFileOption) {
            return variable.strip();
        }
        if (keyFile.isEmpty()) {
            throw new CliException(
                    ExitCode.USAGE,
                    "no operator key is given",
                    "use --key-file, " + Environment.KEY_VARIABLE + ", or keyFile in the tool settings");
        }
        String key = TextFiles.read(environment.resolve(keyFile), keyFile).strip();
        if (key.isEmpty() || key.chars().anyMatch(c -> c <= ' ' || c > '~')) {
            throw new CliException(ExitCode.USAGE, "the file " + keyFile + " does not hold one key", "");
        }
        return key;
    }
}
