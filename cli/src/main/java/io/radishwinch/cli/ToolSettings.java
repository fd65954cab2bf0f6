package io.radishwinch.cli;

import io.radishwinch.config.ConfigError;
import io.radishwinch.config.YamlDocument;
import io.radishwinch.config.YamlMapping;
import io.vavr.control.Either;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of the command line.
 *
 * @param deployment name of the deployment in reports
 * @param routers addresses of the routers, as host:port
 * @param keyFile file with the operator's key, or an empty string
 * @param trustFile PEM certificates that may sign the routers' certificates, or an empty string
 * @param output {@code text} or {@code json}
 */
record ToolSettings(String deployment, List<String> routers, String keyFile, String trustFile, String output) {
    private static final String DEFAULT_PATH = ".config/radishwinch/tool.yaml";
    private static final int MAX_ROUTERS = 100;

    /**
     * Returns the settings from the settings file and the options; options take precedence.
     *
     * @throws CliException if the settings are invalid, or an explicitly given settings file does not exist
     */
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

    /** Parses tool settings; returns the errors in document order if there are any. */
    static Either<List<ConfigError>, ToolSettings> read(String file, String text) {
        return YamlDocument.read(file, text, ToolSettings::fromYaml);
    }

    private static ToolSettings fromYaml(YamlMapping root) {
        List<String> routers = root.texts("routers");
        if (routers.size() > MAX_ROUTERS) {
            root.addError("routers", "must list at most " + MAX_ROUTERS + " routers", "");
        }
        String output = root.text("output", "text");
        if (!output.equals("text") && !output.equals("json")) {
            root.addError("output", "must be text or json", "");
        }
        return new ToolSettings(
                root.text("deployment", "radishwinch"),
                routers,
                root.text("keyFile", ""),
                root.text("trustFile", ""),
                output);
    }

    /** Resolves a path from the settings against the directory of the settings file. */
    private static String resolveAgainstSettings(Path settings, String path) {
        return path.isEmpty()
                ? ""
                : settings.toAbsolutePath().resolveSibling(path).toString();
    }

    /**
     * Returns the operator's key. The key file option precedes the environment variable, which precedes the settings
     * file.
     *
     * @throws CliException if no key is given or the key file is invalid
     */
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
            throw new CliException(
                    ExitCode.USAGE,
                    "the file " + keyFile + " must contain exactly one key of printable ASCII characters",
                    "");
        }
        return key;
    }
}
