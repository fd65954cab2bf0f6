package io.radishwinch.server;

/** Descriptions of failures for logs and messages. */
public final class Failures {
    private Failures() {}

    /**
     * Returns the message of a failure, or the name of its class if it has none. Netty fails writes to a closed
     * connection without a message.
     *
     * @return a text that is neither null nor empty
     */
    public static String describe(Throwable failure) {
        String message = failure.getMessage();
        return message == null || message.isBlank() ? failure.getClass().getSimpleName() : message;
    }
}
