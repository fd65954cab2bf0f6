package io.radishwinch.core.action;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.core.quarantine.PromptCrash;
import java.util.List;

/** Instruction to an adapter; output of the decision core. */
public sealed interface Action {

    /**
     * Reroutes a running stream over another chain with the same first stage. The adapter reports the result with
     * {@link io.radishwinch.core.event.Event.AttemptRerouted}.
     *
     * @param requestId request
     * @param epoch epoch of the running attempt
     * @param chain new chain of the attempt
     */
    record RerouteAttempt(String requestId, int epoch, Chain chain) implements Action {}

    /**
     * Opens a stream to the first stage of the chain. The adapter reports progress and result with attempt events.
     *
     * @param requestId request
     * @param epoch epoch of the attempt, higher than that of all earlier attempts of the request
     * @param chain chain that runs the attempt
     * @param resumeFromToken number of tokens already delivered
     * @param kvSourceEndpointIds endpoints that may still hold KV cache data of this request
     * @param priority priority for the engine, 0 is the most urgent
     * @param deadlineMs time by which the response must be complete, in ms of the router's clock
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
     * Cancels a running attempt. Tokens that arrive afterwards are discarded.
     *
     * @param requestId request
     * @param epoch epoch of the attempt
     * @param reason reason of the cancellation
     */
    record CancelAttempt(String requestId, int epoch, Reason reason) implements Action {}

    /**
     * Sends an error response to the caller. This is the last action for the request.
     *
     * @param requestId request
     * @param reason reason of the refusal
     * @param verdict whether the request may have run
     * @param retryAfterMs wait suggested to the caller before a retry in ms, or 0
     */
    record Refuse(String requestId, Reason reason, Verdict verdict, long retryAfterMs) implements Action {}

    /**
     * Ends a request with a complete response. This is the last action for the request.
     *
     * @param requestId request
     */
    record Complete(String requestId) implements Action {}

    /**
     * Sends an order to an engine.
     *
     * @param endpointId endpoint
     * @param fencingToken fencing token of the order
     * @param order change to perform
     */
    record OrderEngine(String endpointId, long fencingToken, EngineOrder order) implements Action {}

    /**
     * Announces a quarantined fingerprint to peers.
     *
     * @param fingerprint fingerprint
     * @param untilMs end of the quarantine, in ms of the router's clock
     */
    record ShareQuarantine(String fingerprint, long untilMs) implements Action {}

    /**
     * Withdraws a request and relays it to another router, within the retry budget if it may have run.
     *
     * @param requestId request
     */
    record Relay(String requestId) implements Action {}

    /**
     * Announces to peers that a request with the fingerprint was running on an endpoint when it crashed.
     *
     * @param fingerprint fingerprint
     * @param endpointId endpoint that crashed
     */
    record ShareCrash(String fingerprint, String endpointId) implements Action {}

    /**
     * Announces to peers a request that failed before its answer began because its endpoint crashed.
     *
     * @param crash crash of the endpoint
     */
    record SharePromptCrash(PromptCrash crash) implements Action {}

    /**
     * Announces to peers that an answer to a prompt with these parts has begun after crashes that count against them.
     *
     * @param parts hashes of the parts
     */
    record ShareProvenParts(List<Long> parts) implements Action {}

    /**
     * Counts a retry.
     *
     * @param requestId identifier of the request
     * @param caller caller
     * @param rank rank
     * @param reason reason for which the previous attempt ended
     */
    record CountRetry(String requestId, String caller, Rank rank, Reason reason) implements Action {}

    /**
     * Logs a state change.
     *
     * @param subject object that changed, for example an endpoint identifier
     * @param change old state, new state and cause
     */
    record StateChanged(String subject, String change) implements Action {}
}
