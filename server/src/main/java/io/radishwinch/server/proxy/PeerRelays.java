package io.radishwinch.server.proxy;

import java.util.Optional;
import java.util.Set;

/**
 * Other routers, to which a router that reaches no endpoint relays requests. Methods may be called by any thread.
 *
 * <p>A relayed request is the whole request of the caller. The router that receives it authenticates, admits and runs
 * it as it does its own, so that contracts, limits and retries are counted there and once. It never relays it further.
 */
public interface PeerRelays {

    /** Routers of a deployment without relays. */
    PeerRelays NONE = new PeerRelays() {
        @Override
        public boolean isIsolated() {
            return false;
        }

        @Override
        public void suspectIsolation() {}

        @Override
        public Optional<EndpointContact> choose(Set<String> excludedIds) {
            return Optional.empty();
        }

        @Override
        public void markUnavailable(String routerId) {}

        @Override
        public void relayed(String requestId, String routerId, long resumeAfterEventId) {}
    };

    /** Returns whether this router reaches no endpoint. */
    boolean isIsolated();

    /** Called when no endpoint was available for a request, which an isolated router may not notice otherwise. */
    void suspectIsolation();

    /**
     * Returns the relay address of a router that may reach endpoints, or empty if none is known. The identifier of the
     * contact is that of the router.
     *
     * @param excludedIds routers that are not chosen
     */
    Optional<EndpointContact> choose(Set<String> excludedIds);

    /** Records that a router takes no relayed requests for the moment. */
    void markUnavailable(String routerId);

    /** Records that a request is relayed. */
    void relayed(String requestId, String routerId, long resumeAfterEventId);
}
