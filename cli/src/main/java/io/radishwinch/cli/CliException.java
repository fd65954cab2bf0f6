package io.radishwinch.cli;

/** A failure that ends a command with an exit code. */
final class CliException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;
    private final String hint;

    /**
     * Creates a failure.
     *
     * @param hint how to correct the error, or an empty string
     */
    CliException(ExitCode exitCode, String message, String hint) {
        super(message);
        this.exitCode = exitCode;
        this.hint = hint;
    }

    ExitCode exitCode() {
        return exitCode;
    }

    String hint() {
        return hint;
    }
}
