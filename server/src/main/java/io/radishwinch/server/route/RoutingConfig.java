package io.radishwinch.server.route;

import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Rank;
import io.radishwinch.server.http.ContractIndex;
import java.util.List;
import java.util.Map;

/**
 * Immutable routing configuration. A change replaces the whole object.
 *
 * @param version version assigned by the operators; increases with each change, 0 if there is no configuration
 * @param routes routes
 * @param fleet contracts, models and services
 * @param contracts contracts of {@code fleet} by bearer key
 * @param callerRanks ranks by caller; they take precedence over the rank of the route
 * @param limits limits of caller connections
 * @param connectionLimits maximum number of connections to one endpoint from all routers together, by pool
 */
public record RoutingConfig(
        long version,
        RouteTable routes,
        FleetConfig fleet,
        ContractIndex contracts,
        Map<String, Rank> callerRanks,
        ConnectionLimits limits,
        Map<String, Integer> connectionLimits) {

    /** Caller name of the contract for requests without a key on public routes; no other caller has an empty name. */
    public static final String PUBLIC_CALLER = "";

    /** Creates a configuration with immutable copies of the maps. */
    public RoutingConfig {
        callerRanks = Map.copyOf(callerRanks);
        connectionLimits = Map.copyOf(connectionLimits);
    }

    /** Creates a configuration with an index of its contracts. */
    public RoutingConfig(
            long version,
            RouteTable routes,
            FleetConfig fleet,
            Map<String, Rank> callerRanks,
            ConnectionLimits limits,
            Map<String, Integer> connectionLimits) {
        this(version, routes, fleet, ContractIndex.of(fleet), callerRanks, limits, connectionLimits);
    }

    /** Returns the configuration used until the first one arrives: version 0, without routes. */
    public static RoutingConfig empty() {
        return new RoutingConfig(
                0, new RouteTable(List.of()), FleetConfig.empty(), Map.of(), ConnectionLimits.defaults(), Map.of());
    }
}
