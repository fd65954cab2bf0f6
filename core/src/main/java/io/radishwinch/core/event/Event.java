package io.radishwinch.core.event;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.List;

/** Something that happened; input of the decision core. */
public sealed interface Event {

    /** Periodic tick, every 50 ms; systems run over the tables. */
    record Tick() implements Event {}

    /**
     * A new configuration is in force.
     *
     * @param config the whole configuration
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
     * @param requestId request of that caller
     */
    record CallerDisconnected(String requestId) implements Event {}

    /**
     * The first endpoint of the chain accepted the attempt, so it may have run.
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
     * Periodic progress of a stream, at most one per request and second.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param deliveredTokens tokens delivered to the caller so far
     */
    record Progress(String requestId, int epoch, int deliveredTokens) implements Event {}

    /**
     * The attempt delivered the whole answer.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param deliveredTokens tokens delivered to the caller over all attempts
     */
    record AttemptFinished(String requestId, int epoch, int deliveredTokens) implements Event {}

    /**
     * The attempt ended without a whole answer.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param failedEndpointId endpoint that failed, or the first of the chain if unknown
     * @param reason what happened
     * @param verdict whether this attempt may have run
     * @param deliveredTokens tokens delivered to the caller so far
     */
    record AttemptFailed(
            String requestId, int epoch, String failedEndpointId, Reason reason, Verdict verdict, int deliveredTokens)
            implements Event {}

    /**
     * An endpoint was seen for the first time.
     *
     * @param endpoint its fixed properties
     */
    record EndpointJoined(EndpointSpec endpoint) implements Event {}

    /**
     * An endpoint is leaving, by whichever source said so first.
     *
     * @param endpointId endpoint
     */
    record EndpointLeaving(String endpointId) implements Event {}

    /**
     * An endpoint is dead or was removed.
     *
     * @param endpointId endpoint
     * @param hasCrashed whether it failed rather than left
     */
    record EndpointRemoved(String endpointId, boolean hasCrashed) implements Event {}

    /**
     * An endpoint reported its load.
     *
     * @param report the report
     */
    record LoadReported(LoadReport report) implements Event {}

    /**
     * An engine reported prompt prefixes that it holds; reports are late and may have gaps.
     *
     * @param endpointId endpoint
     * @param addedPrefixHashes prefixes added
     * @param removedPrefixHashes prefixes evicted
     * @param hasGap whether events before this one were lost
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
     * The time that an endpoint took per layer and token was measured on a finished attempt.
     *
     * @param endpointId endpoint
     * @param layerTimeUs mean time of one layer for one token, in us
     */
    record StageMeasured(String endpointId, double layerTimeUs) implements Event {}

    /**
     * Attempts that other routers run on an endpoint.
     *
     * @param endpointId endpoint
     * @param running attempts of all other routers together
     * @param kvBytes KV cache memory that these attempts may use, in bytes
     */
    record PeerLoad(String endpointId, int running, long kvBytes) implements Event {}

    /**
     * This router's share of a caller's limits changed.
     *
     * @param caller caller
     * @param requestsPerS requests/s for this router
     * @param tokensPerS tokens/s for this router
     * @param concurrentRequests concurrent requests for this router
     * @param floorShare fraction of the contracted floors that this router serves, 0 to 1
     */
    record AllotmentChanged(
            String caller, double requestsPerS, double tokensPerS, double concurrentRequests, double floorShare)
            implements Event {}

    /**
     * A peer put a fingerprint into quarantine.
     *
     * @param fingerprint fingerprint
     * @param untilMs end of the quarantine, in ms of the router's clock
     */
    record QuarantineShared(String fingerprint, long untilMs) implements Event {}

    /**
     * A peer saw a fingerprint running on an endpoint when it crashed.
     *
     * @param fingerprint fingerprint
     * @param endpointId endpoint that crashed
     */
    record CrashShared(String fingerprint, String endpointId) implements Event {}

    /**
     * An engine carried out or refused an order.
     *
     * @param endpointId endpoint
     * @param fencingToken number of the order
     * @param isAccepted whether it was carried out
     */
    record OrderAcknowledged(String endpointId, long fencingToken, boolean isAccepted) implements Event {}

    /**
     * The router is shutting down: running requests finish, new ones are refused.
     *
     * @param deadlineMs time by which running requests must have finished, in ms of the router's clock
     */
    record DrainStarted(long deadlineMs) implements Event {}

    /**
     * The number of routers that share the endpoints is known or has changed.
     *
     * @param routerCount routers believed alive, this one included
     */
    record RouterCountChanged(int routerCount) implements Event {}

    /**
     * The first endpoint of a running attempt has answered the order to go on over another chain.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param isAccepted whether the stream goes on over the new chain
     */
    record AttemptRerouted(String requestId, int epoch, boolean isAccepted) implements Event {}
}
