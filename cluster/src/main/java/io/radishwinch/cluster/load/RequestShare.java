package io.radishwinch.cluster.load;

import io.radishwinch.cluster.membership.RendezvousHash;
import java.util.Collection;

/**
 * Divides the requests that an endpoint takes among the routers, without messages between them.
 *
 * <p>Every router may send one request at once, however small its share is. So that these add up to little beside the
 * limit, only as many routers use the endpoint as its limit allows; rendezvous hashing chooses them.
 */
public final class RequestShare {

    /** Routers that use an endpoint for each request/s of its limit. */
    private static final double ROUTERS_PER_REQUEST_PER_S = 2;

    /** Routers that use an endpoint whatever its limit is. */
    private static final int MIN_ROUTERS = 3;

    private RequestShare() {}

    /**
     * Returns the requests/s that a router may send to an endpoint.
     *
     * @param limitPerS requests/s that the endpoint takes from all routers together
     * @param routerIds identifiers of all routers that may use the endpoint
     */
    public static double perS(String routerId, String endpointId, double limitPerS, Collection<String> routerIds) {
        int users = (int) Math.min(routerIds.size(), ROUTERS_PER_REQUEST_PER_S * limitPerS + MIN_ROUTERS);
        return RendezvousHash.isAmongTop(routerId, "request-limit/" + endpointId, routerIds, users)
                ? limitPerS / users
                : 0;
    }
}
