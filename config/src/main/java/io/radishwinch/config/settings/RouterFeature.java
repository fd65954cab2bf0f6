package io.radishwinch.config.settings;

/** Optional behaviour that the settings switch on or off under {@code features}. */
public enum RouterFeature {
    /** Order engines to load layers when a model is not covered or overloaded. */
    PLACEMENT_ORDERS(
            "placementOrders", true, "Order engines to load layers when a model is not covered or overloaded.");

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
