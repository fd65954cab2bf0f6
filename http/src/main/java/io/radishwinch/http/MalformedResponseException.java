package io.radishwinch.http;

/** Thrown for a response that breaks a rule of HTTP/1.1. */
public final class MalformedResponseException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final ResponseRule rule;

    MalformedResponseException(ResponseRule rule, String detail, Throwable cause) {
        // Responses of one endpoint may all be malformed, and the stack shows nothing of them.
        super("malformed response, " + rule.wireName() + ": " + detail, cause, false, false);
        this.rule = rule;
    }

    /** Returns the rule that the response breaks. */
    public ResponseRule rule() {
        return rule;
    }
}
