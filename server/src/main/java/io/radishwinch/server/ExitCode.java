package io.radishwinch.server;

/** Exit codes of the router's programs. */
public final class ExitCode {
    /** The program ended as it should. */
    public static final int OK = 0;

    /** The router could not start or run. */
    public static final int FAILED = 1;

    /** The arguments are wrong. */
    public static final int USAGE = 2;

    /** The settings are wrong. */
    public static final int INVALID_SETTINGS = 3;

    private ExitCode() {}
}
