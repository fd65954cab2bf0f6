package io.radishwinch.server.http;

import io.radishwinch.core.model.Rank;
import java.util.Optional;

/**
 * Request that was refused before it reached the decision core, and what the refusal was based on.
 *
 * @param requestId identifier of the request, or an empty string if it has none
 * @param caller name of the caller, or an empty string if unknown
 * @param rank rank of the request, or empty if unknown
 * @param refusal the refusal
 * @param configVersion version of the configuration that was applied, or 0 if there was none
 * @param route name of the route, or an empty string if unknown
 * @param keyDigest digest of the bearer key, or an empty string if there was none or it was not looked up
 */
public record Rejection(
        String requestId,
        String caller,
        Optional<Rank> rank,
        Refusal refusal,
        long configVersion,
        String route,
        String keyDigest) {

    /** Returns the rejection of a request of which nothing else is known. */
    public static Rejection of(String requestId, Refusal refusal) {
        return of(requestId, "", Optional.empty(), refusal);
    }

    /** Returns the rejection of a request of a caller, which may be unknown. */
    public static Rejection of(String requestId, String caller, Optional<Rank> rank, Refusal refusal) {
        return new Rejection(requestId, caller, rank, refusal, 0, "", "");
    }

    /** Returns a copy that names the configuration and the route. */
    public Rejection withTerms(long version, String routeName) {
        return new Rejection(requestId, caller, rank, refusal, version, routeName, keyDigest);
    }

    /** Returns a copy that names the bearer key by its digest. */
    public Rejection withKeyDigest(String digest) {
        return new Rejection(requestId, caller, rank, refusal, configVersion, route, digest);
    }
}
