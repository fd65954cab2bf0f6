package io.radishwinch.server.admin;

/** A failure of the router that an operator is told about. */
public final class ControlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String hint;

    /**
     * Creates a failure.
     *
     * @param status HTTP status from 400 to 599
     * @param message what went wrong
     * @param hint what to do about it, or an empty string
     */
    public ControlException(int status, String message, String hint) {
        super(message);
        this.status = status;
        this.hint = hint;
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns what to do about it, or an empty string. */
    public String hint() {
        return hint;
    }
}
