package io.radishwinch.config.settings;

/**
 * A person or program with access to the admin API.
 *
 * @param name name in logs and conflict messages
 * @param role access level
 * @param keyHash SHA-256 hash of its bearer key, in lower-case hexadecimal
 */
public record Operator(String name, Role role, String keyHash) {

    /** Access levels in ascending order; each includes the permissions of those before it. */
    public enum Role {
        /** May read status, explanations and reports. */
        VIEWER,
        /** May also change contracts, models and services, and drain VMs. */
        OPERATOR,
        /** May also delete contracts, models and services. */
        ADMIN;

        /** Returns whether this role has all permissions of another role. */
        public boolean includes(Role other) {
            return ordinal() >= other.ordinal();
        }
    }
}
