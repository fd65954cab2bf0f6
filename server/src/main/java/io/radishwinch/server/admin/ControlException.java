package io.radishwinch.server.admin;

/** Thrown when the router fails to execute an operator's request; selects the HTTP status of the response. */
public final class ControlException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final int status;
    private final String hint;

    /**
     * Creates an exception.
     *
     * @param status HTTP status from 400 to 599
     * @param message human-readable description of the failure
     * @param hint suggested remedy, or an empty string
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

    /** Returns the suggested remedy, or an empty string. */
    public String hint() {
        return hint;
    }
}
