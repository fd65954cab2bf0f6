package io.radishwinch.config.settings;

/**
 * A person or program that may use the operators' interface.
 *
 * @param name name for logs and conflict messages
 * @param role what it may do
 * @param keyHash SHA-256 hash of its bearer key, in lower-case hexadecimal
 */
public record Operator(String name, Role role, String keyHash) {

    /** Roles, each allowing all that the earlier ones do. */
    public enum Role {
        /** Read status, explanations and reports. */
        VIEWER,
        /** Also change contracts, models and services, and drain VMs. */
        OPERATOR,
        /** Also delete contracts, models and services. */
        ADMIN;

        /** Returns whether this role includes the other. */
        public boolean includes(Role other) {
            return ordinal() >= other.ordinal();
        }
    }
}
