package io.radishwinch.server.http;

import io.radishwinch.core.model.FleetConfig;

/**
 * Configuration that a request of a caller is admitted under. Immutable; a request reads one instance and keeps it.
 *
 * @param fleet contracts, models and services
 * @param contracts contracts of {@code fleet} by bearer key
 */
public record CallerConfig(FleetConfig fleet, ContractIndex contracts) {

    /** Returns the configuration used until the first one arrives. */
    public static CallerConfig empty() {
        return of(FleetConfig.empty());
    }

    /** Returns a configuration with an index of its contracts. */
    public static CallerConfig of(FleetConfig fleet) {
        return new CallerConfig(fleet, ContractIndex.of(fleet));
    }

    /** Returns whether there is no configuration yet. */
    public boolean isEmpty() {
        return fleet.version() == 0;
    }
}
