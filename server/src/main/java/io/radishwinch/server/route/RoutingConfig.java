package io.radishwinch.server.route;

import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Rank;
import java.util.List;
import java.util.Map;

/**
 * The configuration in force: immutable, replaced as a whole.
 *
 * @param version version that the operators gave it; increases with each change
 * @param routes routes
 * @param fleet contracts, models and services
 * @param callerRanks ranks of the callers that have one of their own, which goes before that of the route
 * @param limits limits on connections of callers
 * @param connectionLimits largest number of connections to one endpoint, from all routers together, by pool
 */
public record RoutingConfig(
        long version,
        RouteTable routes,
        FleetConfig fleet,
        Map<String, Rank> callerRanks,
        ConnectionLimits limits,
        Map<String, Integer> connectionLimits) {

    /** Name of the contract for requests on public routes. */
    public static final String PUBLIC_CALLER = "public";

    /** Copies the maps. */
    public RoutingConfig {
        callerRanks = Map.copyOf(callerRanks);
        connectionLimits = Map.copyOf(connectionLimits);
    }

    /** Returns the configuration before the first one has arrived. */
    public static RoutingConfig empty() {
        return new RoutingConfig(
                0, new RouteTable(List.of()), FleetConfig.empty(), Map.of(), ConnectionLimits.defaults(), Map.of());
    }
}
