package io.radishwinch.core.chain;

import java.util.Set;

/**
 * Endpoints that a chain may use.
 *
 * @param excludedEndpointIds endpoints to leave out, for example those on which earlier attempts failed
 * @param firstEndpointIds endpoints that may run the first stage; empty if all may
 */
public record ChainConstraints(Set<String> excludedEndpointIds, Set<String> firstEndpointIds) {

    /** Allows all endpoints. */
    public static final ChainConstraints NONE = excluding(Set.of());

    /** Returns constraints that leave out some endpoints; the set is not copied. */
    public static ChainConstraints excluding(Set<String> endpointIds) {
        return new ChainConstraints(endpointIds, Set.of());
    }

    boolean isExcluded(String endpointId) {
        return !excludedEndpointIds.isEmpty() && excludedEndpointIds.contains(endpointId);
    }

    boolean canBeFirst(String endpointId) {
        return firstEndpointIds.isEmpty() || firstEndpointIds.contains(endpointId);
    }
}
