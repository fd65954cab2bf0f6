package io.radishwinch.core.chain;

import io.radishwinch.core.model.RequestSpec;
import java.util.List;

/**
 * Cost of the parts of a chain, in us of the time of one answer token.
 *
 * <p>The price of a slot grows exponentially with the fraction of slots in use, so that scarce endpoints are kept for
 * the work that needs them. Source: J. Aspnes, Y. Azar, A. Fiat, S. Plotkin, O. Waarts, "On-line routing of virtual
 * circuits with applications to load balancing and machine scheduling", Journal of the ACM 44(3), 1997.
 */
final class CostModel {

    /** Price of the last slot of an endpoint, in us of token time. */
    static final double FULL_SLOT_PRICE_US = 4_000;

    /** Base of the exponential: the ratio of the price of the last slot to that of the first. */
    private static final double PRICE_BASE = 64;

    private static final double LOG_PRICE_BASE = Math.log(PRICE_BASE);

    /** Time of one prompt token relative to one answer token: a prompt is processed in parallel blocks. */
    private static final double PROMPT_TOKEN_COST = 1.0 / 20;

    private final LinkTable links;
    private List<PrefixIndex.Match> matches = List.of();
    private double promptTokensPerNewToken;
    private long nowMs;

    CostModel(LinkTable links) {
        this.links = links;
    }

    /** Returns the price of one more slot in us, given the fraction of slots in use. */
    static double slotPriceUs(double usedShare) {
        return FULL_SLOT_PRICE_US * (Math.exp(Math.min(1, usedShare) * LOG_PRICE_BASE) - 1) / (PRICE_BASE - 1);
    }

    /** Sets the request that the following costs refer to. */
    void setRequest(RequestSpec request, List<PrefixIndex.Match> newMatches, long newNowMs) {
        matches = newMatches;
        promptTokensPerNewToken = (double) request.promptTokens() / Math.max(1, request.maxNewTokens());
        nowMs = newNowMs;
    }

    /** Returns the delay between two stages, or the price of entering the chain at its first stage, in us. */
    double linkCostUs(EndpointRow from, EndpointRow to) {
        if (to == null) {
            return 0;
        }
        return from == null ? links.entryUs(to) : links.delayUs(from, to, nowMs);
    }

    /** Returns the time of one layer, in us, less the prompt work that a cached prefix saves. */
    double layerCostUs(EndpointRow row) {
        double savedShare = 0;
        for (int i = 0; i < matches.size(); i++) {
            if (matches.get(i).row() == row) {
                savedShare = matches.get(i).fraction() * promptTokensPerNewToken * PROMPT_TOKEN_COST;
            }
        }
        return row.layerTimeUs() * (1 - Math.min(1, savedShare));
    }

    /** Returns the layers for which the endpoint has KV cache memory for a request of the given size. */
    static int layersWithMemory(HeldRange entry, long bytesPerLayer) {
        long freeBytes = Math.max(0, entry.row.kvFreeBytes());
        // Most endpoints have memory for their whole range, which needs no division.
        boolean fitsWhole = freeBytes >= bytesPerLayer * entry.size();
        return fitsWhole ? entry.size() : (int) (freeBytes / bytesPerLayer);
    }
}
