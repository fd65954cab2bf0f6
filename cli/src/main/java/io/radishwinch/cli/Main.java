package io.radishwinch.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.List;

/** Entry point of the operators' command line. */
public final class Main {
    private final Environment environment;

    Main(Environment environment) {
        this.environment = environment;
    }

    /** Runs the tool and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args, System.in, System.out, System.err));
    }

    /**
     * Runs one command.
     *
     * @param args arguments
     * @param in standard input, currently unused
     * @param out output for results
     * @param err output for progress, warnings and errors
     * @return exit code of {@link ExitCode}
     */
    public static int run(String[] args, InputStream in, PrintStream out, PrintStream err) {
        return new Main(Environment.ofProcess()).run(List.of(args), out, err).code();
    }

    ExitCode run(List<String> args, PrintStream out, PrintStream err) {
        try {
            CommandTree.ParsedCommand choice = new CommandTree().parse(args);
            if (choice.command() == null) {
                out.print(choice.help());
                return ExitCode.OK;
            }
            try (Session session = new Session(choice.command().common, environment, out, err)) {
                return choice.command().run(session);
            }
        } catch (CliException e) {
            String hint = e.hint().isEmpty() ? "" : " (" + e.hint() + ")";
            err.println("radishwinch: " + Session.printable(e.getMessage() + hint));
            return e.exitCode();
        } catch (RuntimeException e) {
            err.println("radishwinch: internal error: " + Session.printable(String.valueOf(e)));
            return ExitCode.FAILED;
        } finally {
            out.flush();
            err.flush();
        }
    }
}
