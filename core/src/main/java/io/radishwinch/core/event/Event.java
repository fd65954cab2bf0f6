package io.radishwinch.core.event;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.PromptCrash;
import java.util.List;

/** Input of the decision core: something that happened. */
public sealed interface Event {

    /** Periodic tick, every 50 ms, which runs the periodic systems of the core. */
    record Tick() implements Event {}

    /**
     * A new configuration is in effect.
     *
     * @param config complete configuration, which replaces the previous one
     */
    record ConfigChanged(FleetConfig config) implements Event {}

    /**
     * A request passed parsing and authentication.
     *
     * @param request the request
     */
    record RequestArrived(RequestSpec request) implements Event {}

    /**
     * The caller closed its connection.
     *
     * @param requestId request received on the connection
     */
    record CallerDisconnected(String requestId) implements Event {}

    /**
     * The router reaches no endpoint, and another router may run the request.
     *
     * @param requestId request that waits or whose attempt is silent
     */
    record RelayRequested(String requestId) implements Event {}

    /**
     * The router that a request was relayed to is lost or has failed, and another router may continue its response.
     *
     * @param request request that this router has withdrawn
     */
    record RelayRepeated(RequestSpec request) implements Event {}

    /**
     * The first endpoint of the chain accepted the attempt, so the request may have run.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     */
    record AttemptStarted(String requestId, int epoch) implements Event {}

    /**
     * The first token of an attempt arrived.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     */
    record FirstToken(String requestId, int epoch) implements Event {}

    /**
     * Periodic progress of a stream, at most once a second for each request.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param deliveredTokens tokens delivered to the caller so far
     */
    record Progress(String requestId, int epoch, int deliveredTokens) implements Event {}

    /**
     * The attempt delivered the complete response.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param deliveredTokens tokens delivered to the caller over all attempts
     */
    record AttemptFinished(String requestId, int epoch, int deliveredTokens) implements Event {}

    /**
     * The attempt ended without a complete response.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param failedEndpointId endpoint that failed, or the first of the chain if unknown
     * @param reason reason of the failure
     * @param verdict whether this attempt may have run
     * @param deliveredTokens tokens delivered to the caller so far
     */
    record AttemptFailed(
            String requestId, int epoch, String failedEndpointId, Reason reason, Verdict verdict, int deliveredTokens)
            implements Event {}

    /**
     * An endpoint joined.
     *
     * @param endpoint fixed properties of the endpoint
     */
    record EndpointJoined(EndpointSpec endpoint) implements Event {}

    /**
     * An endpoint is leaving. The first source that reports it counts.
     *
     * @param endpointId endpoint
     */
    record EndpointLeaving(String endpointId) implements Event {}

    /**
     * An endpoint that is leaving and does not respond to all checks has responded. It receives no new work.
     *
     * @param endpointId endpoint
     */
    record EndpointResponded(String endpointId) implements Event {}

    /**
     * An endpoint failed or was removed from the list.
     *
     * @param endpointId endpoint
     * @param hasCrashed whether the endpoint failed instead of leaving as announced
     * @param isSuspected whether the only sign is that the endpoint does not respond; it may join again
     * @param isEndProven whether the endpoint is known to have ended, unlike one that is no longer listed
     */
    record EndpointRemoved(String endpointId, boolean hasCrashed, boolean isSuspected, boolean isEndProven)
            implements Event {

        /**
         * Time for which a suspected endpoint counts as one that still runs its attempts and may respond again, in ms;
         * a sound endpoint may be silent for about a second.
         */
        public static final long MAX_SILENCE_MS = 2_000;

        /** Creates the removal of an endpoint that has ended. */
        public EndpointRemoved(String endpointId, boolean hasCrashed) {
            this(endpointId, hasCrashed, false, true);
        }

        /** Creates the removal of an endpoint that does not respond. */
        public static EndpointRemoved suspected(String endpointId) {
            return new EndpointRemoved(endpointId, false, true, false);
        }

        /** Creates the removal of an endpoint that is no longer listed and may still run. */
        public static EndpointRemoved unlisted(String endpointId) {
            return new EndpointRemoved(endpointId, false, false, false);
        }
    }

    /**
     * An endpoint sent a load report.
     *
     * @param report load report
     */
    record LoadReported(LoadReport report) implements Event {}

    /**
     * An engine reported changes of the prompt prefixes that it caches. Reports are delayed and may be lost.
     *
     * @param endpointId endpoint
     * @param addedPrefixHashes prefixes added
     * @param removedPrefixHashes prefixes evicted
     * @param hasGap whether reports before this one were lost
     */
    record CacheReported(
            String endpointId, List<Long> addedPrefixHashes, List<Long> removedPrefixHashes, boolean hasGap)
            implements Event {
        /** Copies the lists. */
        public CacheReported {
            addedPrefixHashes = List.copyOf(addedPrefixHashes);
            removedPrefixHashes = List.copyOf(removedPrefixHashes);
        }
    }

    /**
     * A link between two endpoints was measured.
     *
     * @param fromEndpointId sending endpoint
     * @param toEndpointId receiving endpoint
     * @param delayUs one-way delay of one token, in us
     * @param tokensPerS capacity in tokens/s
     */
    record LinkMeasured(String fromEndpointId, String toEndpointId, long delayUs, double tokensPerS) implements Event {}

    /**
     * The layer time of an endpoint was measured on a completed attempt.
     *
     * @param endpointId endpoint
     * @param layerTimeUs mean time of one layer for one token, in us
     */
    record StageMeasured(String endpointId, double layerTimeUs) implements Event {}

    /**
     * Load that other routers put on an endpoint.
     *
     * @param endpointId endpoint
     * @param running number of attempts of all other routers
     * @param kvBytes KV cache memory reserved for these attempts, in bytes
     */
    record PeerLoad(String endpointId, int running, long kvBytes) implements Event {}

    /**
     * This router's share of a caller's limits changed.
     *
     * @param caller caller
     * @param requestsPerS share of the rate limit in requests/s
     * @param tokensPerS share of the rate limit in tokens/s
     * @param concurrentRequests share of the concurrency limit
     * @param floorShare fraction of the contract's floors that this router serves, from 0 to 1
     */
    record AllotmentChanged(
            String caller, double requestsPerS, double tokensPerS, double concurrentRequests, double floorShare)
            implements Event {}

    /**
     * A peer quarantined a fingerprint.
     *
     * @param fingerprint fingerprint
     * @param untilMs end of the quarantine, in ms of the router's clock
     */
    record QuarantineShared(String fingerprint, long untilMs) implements Event {}

    /**
     * A peer reported that a request with the fingerprint was running on an endpoint when it crashed.
     *
     * @param fingerprint fingerprint
     * @param endpointId endpoint that crashed
     */
    record CrashShared(String fingerprint, String endpointId) implements Event {}

    /**
     * A peer reported a request that failed before its answer began because its endpoint crashed.
     *
     * @param crash crash of the endpoint
     */
    record PromptCrashShared(PromptCrash crash) implements Event {}

    /**
     * A peer reported that an answer to a prompt with these parts has begun.
     *
     * @param parts hashes of the parts
     * @param atMs time of the report, in ms of the router's clock
     */
    record PartsProven(List<Long> parts, long atMs) implements Event {}

    /**
     * An engine accepted or refused an order, or the order could not be sent.
     *
     * @param endpointId endpoint
     * @param fencingToken fencing token of the order
     * @param isAccepted whether the engine accepted the order
     */
    record OrderAcknowledged(String endpointId, long fencingToken, boolean isAccepted) implements Event {}

    /**
     * This router's share of the requests that an endpoint takes has changed.
     *
     * @param endpointId endpoint
     * @param requestsPerS requests/s that this router may send to it as the first stage of a chain, or
     *     {@link Double#POSITIVE_INFINITY} without a limit
     */
    record RequestShareChanged(String endpointId, double requestsPerS) implements Event {}

    /**
     * An endpoint refused a request of this router and asked it for a pause.
     *
     * @param endpointId endpoint
     * @param untilMs end of the pause, in ms of the router's clock
     */
    record EndpointPaused(String endpointId, long untilMs) implements Event {}

    /**
     * The router was asked to stop; it serves new requests until {@link DrainStarted}, except those that are unlikely
     * to end in time.
     *
     * @param deadlineMs time by which all requests must have finished, in ms of the router's clock
     */
    record StopRequested(long deadlineMs) implements Event {}

    /**
     * The router started to drain: running requests finish and new ones are refused.
     *
     * @param deadlineMs time by which running requests must have finished, in ms of the router's clock
     */
    record DrainStarted(long deadlineMs) implements Event {}

    /**
     * The number of routers that share the endpoints changed or became known.
     *
     * @param routerCount number of live routers, including this one
     */
    record RouterCountChanged(int routerCount) implements Event {}

    /**
     * The first endpoint of a running attempt accepted or refused to reroute it over another chain.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param isAccepted whether the stream continues over the new chain
     */
    record AttemptRerouted(String requestId, int epoch, boolean isAccepted) implements Event {}
}
