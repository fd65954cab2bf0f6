package io.radishwinch.server.engine;

/** Thrown if a line of a stream violates the protocol. */
public final class MalformedLineException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception. */
    public MalformedLineException(String message) {
        super(message);
    }

    /** Creates an exception with its cause. */
    public MalformedLineException(String message, Throwable cause) {
        super(message, cause);
    }
}
