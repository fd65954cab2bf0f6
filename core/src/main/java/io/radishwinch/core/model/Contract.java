package io.radishwinch.core.model;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Limits, ranks and permissions of a caller.
 *
 * @param caller name of the caller
 * @param keyHashes SHA-256 hashes of the bearer keys, in lower-case hexadecimal
 * @param weight weight in fair queueing, relative to other callers of the same rank
 * @param limits limits over the whole fleet
 * @param ranks terms of the ranks that the caller may use
 * @param defaultRank rank of requests without a rank
 * @param models models that the caller may use; an empty set allows all
 * @param services plain services that the caller may use; an empty set allows all
 */
public record Contract(
        String caller,
        List<String> keyHashes,
        double weight,
        Limits limits,
        Map<Rank, RankTerms> ranks,
        Rank defaultRank,
        Set<String> models,
        Set<String> services) {

    /** Copies the collections. */
    public Contract {
        keyHashes = List.copyOf(keyHashes);
        ranks = Map.copyOf(ranks);
        models = Set.copyOf(models);
        services = Set.copyOf(services);
    }

    /**
     * Returns whether the caller may use the pool.
     *
     * @param pool model name, or {@code service:<name>}
     */
    public boolean allowsPool(String pool) {
        if (pool.startsWith(ModelSpec.SERVICE_PREFIX)) {
            return services.isEmpty() || services.contains(pool.substring(ModelSpec.SERVICE_PREFIX.length()));
        }
        return models.isEmpty() || models.contains(pool);
    }
}
