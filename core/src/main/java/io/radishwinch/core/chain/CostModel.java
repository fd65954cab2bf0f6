package io.radishwinch.core.chain;

import io.radishwinch.core.model.RequestSpec;
import java.util.List;

/**
 * Computes the cost of the parts of a chain, in us per generated token.
 *
 * <p>The price of a slot grows exponentially with the fraction of slots in use, so that scarce endpoints remain
 * available for requests that depend on them. Source: J. Aspnes, Y. Azar, A. Fiat, S. Plotkin, O. Waarts, "On-line
 * routing of virtual circuits with applications to load balancing and machine scheduling", Journal of the ACM 44(3),
 * 1997.
 */
final class CostModel {

    /** Price of the last free slot of an endpoint, in us of token time. */
    static final double FULL_SLOT_PRICE_US = 4_000;

    /**
     * Base of the exponential price function. The price is zero at no use, and its slope at full use is this many times
     * the slope at no use.
     */
    private static final double PRICE_BASE = 64;

    private static final double LOG_PRICE_BASE = Math.log(PRICE_BASE);

    /** Time of one prompt token relative to one generated token. Prompt tokens are processed in parallel blocks. */
    private static final double PROMPT_TOKEN_COST = 1.0 / 20;

    private final LinkTable links;
    private List<PrefixIndex.Match> matches = List.of();
    private double promptTokensPerNewToken;
    private long nowMs;

    CostModel(LinkTable links) {
        this.links = links;
    }

    /** Returns the price of one more slot in us for a given fraction of slots in use. */
    static double slotPriceUs(double usedShare) {
        return FULL_SLOT_PRICE_US * (Math.exp(Math.min(1, usedShare) * LOG_PRICE_BASE) - 1) / (PRICE_BASE - 1);
    }

    /** Sets the request for which the following calls compute costs. */
    void setRequest(RequestSpec request, List<PrefixIndex.Match> newMatches, long newNowMs) {
        matches = newMatches;
        promptTokensPerNewToken = (double) request.promptTokens() / Math.max(1, request.maxNewTokens());
        nowMs = newNowMs;
    }

    /**
     * Returns the delay between two stages in us, or the price of the first stage if {@code from} is null; 0 if
     * {@code to} is null.
     */
    double linkCostUs(EndpointRow from, EndpointRow to) {
        if (to == null) {
            return 0;
        }
        return from == null ? links.entryUs(to) : links.delayUs(from, to, nowMs);
    }

    /** Returns the time of one layer in us, less the prompt processing that a cached prefix saves. */
    double layerCostUs(EndpointRow row) {
        double savedShare = 0;
        for (int i = 0; i < matches.size(); i++) {
            if (matches.get(i).row() == row) {
                savedShare = matches.get(i).fraction() * promptTokensPerNewToken * PROMPT_TOKEN_COST;
            }
        }
        return row.layerTimeUs() * (1 - Math.min(1, savedShare));
    }

    /** Returns the number of layers, up to the whole range, for which the endpoint has enough KV cache memory. */
    static int layersWithMemory(HeldRange entry, long bytesPerLayer) {
        long freeBytes = Math.max(0, entry.row.kvFreeBytes());
        // Most endpoints have memory for their whole range; that case avoids the division.
        boolean fitsRange = freeBytes >= bytesPerLayer * entry.size();
        return fitsRange ? entry.size() : (int) (freeBytes / bytesPerLayer);
    }
}
