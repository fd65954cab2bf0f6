package io.radishwinch.core.action;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.List;

/** Something that an adapter must do; output of the decision core. */
public sealed interface Action {

    /**
     * Let a running stream go on over another chain with the same first stage; the adapter answers with
     * {@link io.radishwinch.core.event.Event.AttemptRerouted}.
     *
     * @param requestId request
     * @param epoch epoch of the running attempt
     * @param chain stages to run from now on
     */
    record RerouteAttempt(String requestId, int epoch, Chain chain) implements Action {}

    /**
     * Open a stream to the head of the chain; the adapter answers with attempt events.
     *
     * @param requestId request
     * @param epoch epoch of the attempt, higher than that of all earlier attempts
     * @param chain stages to run
     * @param resumeFromToken number of tokens already delivered
     * @param kvSourceEndpointIds endpoints that may still hold KV cache of this request
     * @param priority priority for the engine, 0 is the most urgent
     * @param deadlineMs time by which the answer must be complete, in ms of the router's clock
     */
    record StartAttempt(
            String requestId,
            int epoch,
            Chain chain,
            int resumeFromToken,
            List<String> kvSourceEndpointIds,
            int priority,
            long deadlineMs)
            implements Action {
        /** Copies the lists. */
        public StartAttempt {
            kvSourceEndpointIds = List.copyOf(kvSourceEndpointIds);
        }
    }

    /**
     * Cancel a running attempt; its late tokens are dropped.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param reason why
     */
    record CancelAttempt(String requestId, int epoch, Reason reason) implements Action {}

    /**
     * Answer the caller with an error; the last action for the request.
     *
     * @param requestId request
     * @param reason why
     * @param verdict whether the request may have run
     * @param retryAfterMs suggested wait before sending again in ms, or 0
     */
    record Refuse(String requestId, Reason reason, Verdict verdict, long retryAfterMs) implements Action {}

    /**
     * The request ended with a whole answer; the last action for the request.
     *
     * @param requestId request
     */
    record Complete(String requestId) implements Action {}

    /**
     * Send an order to an engine.
     *
     * @param endpointId endpoint
     * @param fencingToken number of the order
     * @param order what to do
     */
    record OrderEngine(String endpointId, long fencingToken, EngineOrder order) implements Action {}

    /**
     * Tell peers of a quarantined fingerprint.
     *
     * @param fingerprint fingerprint
     * @param untilMs end of the quarantine, in ms of the router's clock
     */
    record ShareQuarantine(String fingerprint, long untilMs) implements Action {}

    /**
     * Tell peers that a fingerprint was running on an endpoint when it crashed.
     *
     * @param fingerprint fingerprint
     * @param endpointId endpoint that crashed
     */
    record ShareCrash(String fingerprint, String endpointId) implements Action {}

    /**
     * Count a retry.
     *
     * @param caller caller
     * @param rank rank
     * @param reason why the earlier attempt ended
     */
    record CountRetry(String caller, Rank rank, Reason reason) implements Action {}

    /**
     * Write a log line on a change of state.
     *
     * @param subject what changed, for example an endpoint identifier
     * @param change from which state to which, and why
     */
    record StateChanged(String subject, String change) implements Action {}
}
