package io.radishwinch.cli;

/** Exit codes of the command line. */
public enum ExitCode {
    /** The command did what was asked. */
    OK(0, "done"),
    /** The command failed for another reason than those below. */
    FAILED(1, "failed"),
    /** The arguments are wrong. */
    USAGE(2, "wrong arguments"),
    /** A document is not valid or promises more than the fleet can deliver. */
    INVALID(3, "invalid document"),
    /** Another operator's change came first. */
    CONFLICT(4, "conflict with another change"),
    /** No router could be reached. */
    UNREACHABLE(5, "cannot reach a router"),
    /** The key is unknown or its role does not allow the command. */
    NOT_ALLOWED(6, "not allowed");

    private final int code;
    private final String description;

    ExitCode(int code, String description) {
        this.code = code;
        this.description = description;
    }

    /** Returns the code of the process. */
    public int code() {
        return code;
    }

    /** Returns the meaning in a few words. */
    public String description() {
        return description;
    }
}
