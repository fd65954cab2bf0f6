package io.radishwinch.config.settings;

/** Optional features, which the settings under {@code features} enable or disable. */
public enum RouterFeature {
    /** Orders engines to load layers when a model has uncovered layers or is overloaded. */
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

    /** Returns whether the feature is enabled if the settings do not mention it. */
    public boolean enabledByDefault() {
        return enabledByDefault;
    }

    /** Returns a description of the feature in one sentence. */
    public String description() {
        return description;
    }
}
