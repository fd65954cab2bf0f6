package io.radishwinch.core.model;

import java.util.List;

/**
 * Properties of a request that the decision core uses.
 *
 * @param requestId identifier, unique in the fleet
 * @param caller name of the caller
 * @param rank urgency class
 * @param pool model name, or {@code service:<name>}
 * @param promptTokens number of tokens of the prompt
 * @param maxNewTokens maximum number of tokens to generate
 * @param arrivedAtMs time of arrival, in ms of the router's clock
 * @param deadlineMs time by which the response must be complete, in ms of the router's clock
 * @param fingerprint hash of caller, pool and content; equal for a repeated request
 * @param prefixHashes cumulative hashes of the prompt's blocks, shortest prefix first
 * @param sharedParts hashes of the parts of the prompt that other requests may contain too, in the order of the prompt
 * @param isRepeatable whether the request may be sent to an endpoint more than once
 * @param maxRuns maximum number of endpoints that may run the request; before its response has begun, each attempt
 *     counts as one. Endpoints that have been removed do not count.
 * @param reservedNewTokens generated tokens for which KV cache memory is reserved, at most {@code maxNewTokens}
 * @param startDeadlineMs time after which the request is refused if no endpoint has accepted it, in ms of the router's
 *     clock
 * @param earlierEndpointIds endpoints that have run the request for another router, which continues a response here
 *     that has begun there; empty for all other requests
 */
public record RequestSpec(
        String requestId,
        String caller,
        Rank rank,
        String pool,
        int promptTokens,
        int maxNewTokens,
        long arrivedAtMs,
        long deadlineMs,
        String fingerprint,
        List<Long> prefixHashes,
        List<Long> sharedParts,
        boolean isRepeatable,
        int maxRuns,
        int reservedNewTokens,
        long startDeadlineMs,
        List<String> earlierEndpointIds) {

    /** Copies the lists. */
    public RequestSpec {
        prefixHashes = List.copyOf(prefixHashes);
        sharedParts = List.copyOf(sharedParts);
        earlierEndpointIds = List.copyOf(earlierEndpointIds);
    }

    /** Creates a request that no other router has begun. */
    public RequestSpec(
            String requestId,
            String caller,
            Rank rank,
            String pool,
            int promptTokens,
            int maxNewTokens,
            long arrivedAtMs,
            long deadlineMs,
            String fingerprint,
            List<Long> prefixHashes,
            List<Long> sharedParts,
            boolean isRepeatable,
            int maxRuns,
            int reservedNewTokens,
            long startDeadlineMs) {
        this(
                requestId,
                caller,
                rank,
                pool,
                promptTokens,
                maxNewTokens,
                arrivedAtMs,
                deadlineMs,
                fingerprint,
                prefixHashes,
                sharedParts,
                isRepeatable,
                maxRuns,
                reservedNewTokens,
                startDeadlineMs,
                List.of());
    }

    /**
     * Creates a request whose prefixes are the parts that others may contain, that reserves memory for all its new
     * tokens, and has no limits on its runs and its wait other than those of the policies.
     */
    public RequestSpec(
            String requestId,
            String caller,
            Rank rank,
            String pool,
            int promptTokens,
            int maxNewTokens,
            long arrivedAtMs,
            long deadlineMs,
            String fingerprint,
            List<Long> prefixHashes,
            boolean isRepeatable) {
        this(
                requestId,
                caller,
                rank,
                pool,
                promptTokens,
                maxNewTokens,
                arrivedAtMs,
                deadlineMs,
                fingerprint,
                prefixHashes,
                prefixHashes,
                isRepeatable,
                Integer.MAX_VALUE,
                maxNewTokens,
                Long.MAX_VALUE);
    }

    /** Returns whether the request continues a response that has begun at another router. */
    public boolean continuesResponse() {
        return !earlierEndpointIds.isEmpty();
    }

    /** Returns the number of tokens for which KV cache memory is reserved. */
    public long reservedTokens() {
        return (long) promptTokens + reservedNewTokens;
    }

    /** Returns the cost for fair queueing and token limits, in tokens. */
    public long costTokens() {
        return (long) promptTokens + maxNewTokens;
    }
}
