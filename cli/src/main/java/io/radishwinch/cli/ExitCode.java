package io.radishwinch.cli;

/** Exit codes of the command line. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0, "done"),
    /** The command failed for a reason not listed below. */
    FAILED(1, "failed"),
    /** The arguments are invalid. */
    USAGE(2, "wrong arguments"),
    /** A document is invalid, or its floors exceed what the fleet can deliver. */
    INVALID(3, "invalid document"),
    /** The object was changed in the meantime. */
    CONFLICT(4, "conflict with another change"),
    /** No router could be reached. */
    UNREACHABLE(5, "cannot reach a router"),
    /** The key is unknown, or the operator's role does not allow the command. */
    NOT_ALLOWED(6, "not allowed");

    private final int code;
    private final String description;

    ExitCode(int code, String description) {
        this.code = code;
        this.description = description;
    }

    /** Returns the exit code of the process. */
    public int code() {
        return code;
    }

    /** Returns a short description for the help text. */
    public String description() {
        return description;
    }
}
