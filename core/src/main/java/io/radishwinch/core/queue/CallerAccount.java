package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;
import java.util.ArrayList;
import java.util.List;

/** Service of one caller at one rank over all pools, tracked against its floor, and its use of reserved tokens. */
final class CallerAccount {

    private static final double MS_PER_S = 1_000.0;
    /** Weight of a new sample in the moving average of used to reserved tokens. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Smallest ratio of used to reserved tokens, so that every request has a cost before it ends. */
    private static final double MIN_USE_RATIO = 0.01;
    /** Smallest cost of a request, which applies to calls of plain services, because they have no tokens. */
    private static final double MIN_TOKENS = 1;

    final String caller;
    final Rank rank;
    final List<Flow> flows = new ArrayList<>();
    int queued;
    int running;
    long lastUsedAtMs;
    /** Time in ms up to which past service satisfies the floor; after it the caller is below its floor. */
    double floorTagMs;

    double floorTokensPerS;
    private double useRatio = 1;

    CallerAccount(String caller, Rank rank, long nowMs, long floorBurstMs) {
        this.caller = caller;
        this.rank = rank;
        this.floorTagMs = nowMs - floorBurstMs;
    }

    /** Returns the tokens that a request with the given reservation is expected to use. */
    double expectedTokens(long costTokens) {
        return Math.max(MIN_TOKENS, costTokens * useRatio);
    }

    void charge(double tokens, long nowMs, long floorBurstMs) {
        if (floorTokensPerS > 0) {
            floorTagMs = Math.max(floorTagMs, nowMs - floorBurstMs) + tokens / floorTokensPerS * MS_PER_S;
        }
    }

    void correctCharge(long costTokens, double chargedTokens, long usedTokens) {
        if (usedTokens > 0 && costTokens > 0) {
            double sample = Math.min(1, (double) usedTokens / costTokens);
            useRatio = Math.max(MIN_USE_RATIO, useRatio + SAMPLE_WEIGHT * (sample - useRatio));
        }
        if (floorTokensPerS > 0) {
            floorTagMs += (usedTokens - chargedTokens) / floorTokensPerS * MS_PER_S;
        }
    }

    /** Returns whether the account has had no request since the given time and no floor service beyond it. */
    boolean isIdleSince(long timeMs) {
        return queued == 0 && running == 0 && flows.isEmpty() && lastUsedAtMs <= timeMs && floorTagMs <= timeMs;
    }
}
