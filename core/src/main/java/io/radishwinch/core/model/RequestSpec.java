package io.radishwinch.core.model;

import java.util.List;

/**
 * What the core needs to know of a request.
 *
 * @param requestId identifier, unique in the fleet
 * @param caller name of the caller
 * @param rank urgency
 * @param pool model name, or {@code service:<name>}
 * @param promptTokens tokens of the prompt
 * @param maxNewTokens largest number of answer tokens
 * @param arrivedAtMs time of arrival, in ms of the router's clock
 * @param deadlineMs time by which the answer must be complete, in ms of the router's clock
 * @param fingerprint hash of caller, pool and content, equal for a re-sent request
 * @param prefixHashes cumulative hashes of the prompt's blocks, shortest prefix first
 * @param isRepeatable whether the request may be sent to an endpoint more than once
 * @param maxRuns attempts that may run, those on endpoints that died not counted
 * @param reservedNewTokens answer tokens for which KV cache memory is set aside, at most {@code maxNewTokens}
 * @param startDeadlineMs time after which a request that no endpoint has accepted is refused, in ms of the router's
 *     clock
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
        boolean isRepeatable,
        int maxRuns,
        int reservedNewTokens,
        long startDeadlineMs) {

    /** Copies the prefix hashes. */
    public RequestSpec {
        prefixHashes = List.copyOf(prefixHashes);
    }

    /** Creates a request without a limit on its runs and on its wait beyond those of the policies. */
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
            boolean repeatable) {
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
                repeatable,
                Integer.MAX_VALUE,
                maxNewTokens,
                Long.MAX_VALUE);
    }

    /** Returns the tokens for which KV cache memory is set aside. */
    public long reservedTokens() {
        return (long) promptTokens + reservedNewTokens;
    }

    /** Returns the cost in tokens, the unit of fair queueing and of token limits. */
    public long costTokens() {
        return (long) promptTokens + maxNewTokens;
    }
}
