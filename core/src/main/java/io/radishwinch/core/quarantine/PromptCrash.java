package io.radishwinch.core.quarantine;

import java.util.List;

/**
 * A request that failed before its answer began because its endpoint crashed.
 *
 * @param fingerprint hash of caller, pool and content of the request
 * @param endpointId endpoint that crashed
 * @param parts hashes of the parts of its prompt that other requests may contain too
 * @param startedAtMs start of the attempt, in ms of the router's clock
 * @param crashedAtMs end of the attempt, in ms of the router's clock
 */
public record PromptCrash(String fingerprint, String endpointId, List<Long> parts, long startedAtMs, long crashedAtMs) {

    /** Copies the parts. */
    public PromptCrash {
        parts = List.copyOf(parts);
    }
}
