package io.radishwinch.server;

/** Exit codes of the router's programs. */
public final class ExitCode {
    /** The program completed successfully. */
    public static final int OK = 0;

    /** The router failed to start or to run. */
    public static final int FAILED = 1;

    /** The command-line arguments are invalid. */
    public static final int USAGE = 2;

    /** The settings are invalid. */
    public static final int INVALID_SETTINGS = 3;

    private ExitCode() {}
}
