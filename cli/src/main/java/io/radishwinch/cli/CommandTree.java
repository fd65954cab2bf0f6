package io.radishwinch.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import io.radishwinch.config.build.BuildIdentity;
import io.radishwinch.config.contract.ObjectKind;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Registers all commands and parses the arguments. */
final class CommandTree {
    private static final String NAME = "radishwinch";

    private final JCommander root;
    private final Group rootOptions = new Group();
    private final VersionOption version = new VersionOption();
    private final Map<String, Map<String, Command>> groups = new LinkedHashMap<>();
    private final Map<String, Command> topLevelCommands = new LinkedHashMap<>();

    CommandTree() {
        for (ObjectKind kind : ObjectKind.values()) {
            groups.put(kind.singular(), ObjectCommands.of(kind));
        }
        groups.put(
                "explain",
                Map.of("request", new FleetCommands.ExplainRequest(), "caller", new FleetCommands.ExplainCaller()));
        groups.put("settings", Map.of("check", new LocalCommands.CheckSettings()));
        groups.put("logs", Map.of("summary", new LogCommands.Summary()));
        groups.put("key", Map.of("new", new LocalCommands.NewKey()));
        topLevelCommands.put("status", new FleetCommands.Status());
        topLevelCommands.put("drain", new FleetCommands.Drain());
        topLevelCommands.put("trace", new LogCommands.Trace());
        topLevelCommands.put("audit", new LogCommands.Audit());
        topLevelCommands.put("report", new ReportCommand());
        topLevelCommands.put("soak", new SoakCommand());
        root = JCommander.newBuilder()
                .programName(NAME)
                .addObject(rootOptions)
                .addObject(version)
                .build();
        // By default JCommander replaces an argument @FILE with the content of the file.
        root.setExpandAtSign(false);
        groups.forEach((name, commands) -> {
            root.addCommand(name, new Group());
            JCommander group = root.getCommands().get(name);
            commands.forEach(group::addCommand);
        });
        topLevelCommands.forEach(root::addCommand);
    }

    /** Options of the root and of command groups, which have no action of their own. */
    @Parameters
    private static final class Group {
        @Parameter(names = "--help", description = "Show this help.", help = true)
        private boolean isHelpRequested;
    }

    /** Option of the root that prints the build. */
    @Parameters
    private static final class VersionOption {
        @Parameter(names = "--version", description = "Print the build.", help = true)
        private boolean isVersionRequested;
    }

    /**
     * Result of parsing the arguments.
     *
     * @param command command to run, or null if the help is printed instead
     * @param help help text or build, empty if there is a command to run
     */
    record ParsedCommand(Command command, String help) {}

    /**
     * Parses the arguments.
     *
     * @throws CliException if the arguments are invalid
     */
    ParsedCommand parse(List<String> args) {
        try {
            root.parse(args.toArray(String[]::new));
        } catch (ParameterException e) {
            throw new CliException(
                    ExitCode.USAGE, e.getMessage().lines().findFirst().orElse("invalid arguments"), helpHint(args));
        }
        String name = root.getParsedCommand();
        if (name == null && version.isVersionRequested) {
            return new ParsedCommand(null, NAME + " " + BuildIdentity.ofProcess() + "\n");
        }
        if (name == null) {
            return helpOrUsageError(rootOptions.isHelpRequested, rootHelp(), args);
        }
        if (topLevelCommands.containsKey(name)) {
            return parsedCommand(topLevelCommands.get(name), root.getCommands().get(name), name);
        }
        JCommander group = root.getCommands().get(name);
        String sub = group.getParsedCommand();
        if (sub == null) {
            Group options = (Group) group.getObjects().get(0);
            return helpOrUsageError(options.isHelpRequested, groupHelp(name), args);
        }
        return parsedCommand(groups.get(name).get(sub), group.getCommands().get(sub), name + " " + sub);
    }

    private ParsedCommand helpOrUsageError(boolean isHelpRequested, String text, List<String> args) {
        if (!isHelpRequested) {
            throw new CliException(ExitCode.USAGE, "no command given", helpHint(args));
        }
        return new ParsedCommand(null, text);
    }

    /** Returns a hint at the help of the longest prefix of the arguments that is a command or group. */
    private String helpHint(List<String> args) {
        String name = args.isEmpty() ? "" : args.get(0);
        String commandPath = NAME;
        if (topLevelCommands.containsKey(name)) {
            commandPath += " " + name;
        } else if (groups.containsKey(name)) {
            boolean isSubcommand = args.size() > 1 && groups.get(name).containsKey(args.get(1));
            commandPath += " " + name + (isSubcommand ? " " + args.get(1) : "");
        }
        return "see '" + commandPath + " --help'";
    }

    private static ParsedCommand parsedCommand(Command command, JCommander parser, String name) {
        return command.common.isHelpRequested
                ? new ParsedCommand(null, HelpText.command(NAME + " " + name, parser))
                : new ParsedCommand(command, "");
    }

    private String groupHelp(String name) {
        StringBuilder text = new StringBuilder("Usage: " + NAME + " " + name + " COMMAND [OPTIONS] [ARGUMENTS]\n\n");
        JCommander group = root.getCommands().get(name);
        groups.get(name).keySet().stream()
                .sorted()
                .forEach(sub -> text.append(
                        HelpText.line(name + " " + sub, group.getCommands().get(sub))));
        return text.toString();
    }

    private String rootHelp() {
        StringBuilder text = new StringBuilder("Usage: " + NAME + " COMMAND [OPTIONS] [ARGUMENTS]\n\n");
        groups.forEach((name, commands) -> commands.keySet().stream()
                .sorted()
                .forEach(sub -> text.append(HelpText.line(
                        name + " " + sub,
                        root.getCommands().get(name).getCommands().get(sub)))));
        topLevelCommands
                .keySet()
                .forEach(name ->
                        text.append(HelpText.line(name, root.getCommands().get(name))));
        text.append("\nEvery command has --help; radishwinch --version prints the build. Exit codes:\n");
        for (ExitCode code : ExitCode.values()) {
            text.append("  ")
                    .append(code.code())
                    .append("  ")
                    .append(code.description())
                    .append('\n');
        }
        return text.toString();
    }
}
