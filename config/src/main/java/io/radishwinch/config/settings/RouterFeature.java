package io.radishwinch.config.settings;

/** Optional behaviour that the settings switch on or off under {@code features}. */
public enum RouterFeature {
    /** Resume a stream on another chain when a stage fails. */
    RESUME_STREAMS("resumeStreams", true, "Resume a stream on another chain when a stage fails."),
    /** Cancel running batch work for urgent work and resume it later. */
    PREEMPT_BATCH("preemptBatch", true, "Cancel running batch work for urgent work and resume it later."),
    /** Order engines to load layers when a model is not covered or overloaded. */
    PLACEMENT_ORDERS(
            "placementOrders", true, "Order engines to load layers when a model is not covered or overloaded."),
    /** Prefer endpoints that hold the prompt's prefix in their cache. */
    PREFIX_AFFINITY("prefixAffinity", true, "Prefer endpoints that hold the prompt's prefix in their cache.");

    private final String field;
    private final boolean enabledByDefault;
    private final String description;

    RouterFeature(String field, boolean enabledByDefault, String description) {
        this.field = field;
        this.enabledByDefault = enabledByDefault;
        this.description = description;
    }

    /** Returns the field name under {@code features}. */
    public String field() {
        return field;
    }

    /** Returns whether the feature is on unless the settings say otherwise. */
    public boolean enabledByDefault() {
        return enabledByDefault;
    }

    /** Returns what the feature does, in one sentence. */
    public String description() {
        return description;
    }
}
