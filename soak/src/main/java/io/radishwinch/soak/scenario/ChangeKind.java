package io.radishwinch.soak.scenario;

/**
 * Object of the configuration that a change replaces; no change affects what the callers of a scenario are promised.
 */
public enum ChangeKind {
    /** Weight of a caller that sends nothing. */
    BYSTANDER("bystander"),
    /** Limits of the callers of the scenario, far above what they send. */
    LIMITS("limits"),
    /** Timeout of the callers of the scenario, never below the time that they give their requests. */
    TIMEOUT("timeout"),
    /** KV cache for each token of the model. */
    MODEL("model"),
    /** A further account that sends nothing. */
    ACCOUNT("account"),
    /** A key of an account of the scenario that no caller uses; the other keys of the account stay. */
    KEY("key");

    private final String text;

    ChangeKind(String text) {
        this.text = text;
    }

    /** Returns the name in scenario files. */
    public String text() {
        return text;
    }
}
