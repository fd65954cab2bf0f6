package io.radishwinch.core.impl;

import io.radishwinch.core.DecisionCore.CallerView;
import io.radishwinch.core.DecisionCore.RankView;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.limit.TokenBucket;
import io.radishwinch.core.model.Limits;
import java.util.List;

/** Row of the caller table: the limits of a caller at this router and their use. */
final class CallerRow {

    private final long burstMs;
    private final double initialShare;
    final TokenBucket requests;
    final TokenBucket tokens;
    /** Requests between admission and their last action. */
    int active;
    /** Requests of the caller that wait outside the queue. */
    int waiting;

    private Event.AllotmentChanged allotment;
    private double concurrentLimit;

    CallerRow(Limits limits, CoreSettings settings, long nowMs) {
        this.burstMs = settings.limitBurstMs();
        this.initialShare = settings.initialAllotmentShare();
        this.requests = new TokenBucket(limits.requestsPerS() * initialShare, burstMs, nowMs);
        this.tokens = new TokenBucket(limits.tokensPerS() * initialShare, burstMs, nowMs);
        setLimits(limits, nowMs);
    }

    /** Applies the contract's limits, which cap the allotment; until an allotment is known, a fixed share applies. */
    void setLimits(Limits limits, long nowMs) {
        double requestsPerS = limits.requestsPerS() * initialShare;
        double tokensPerS = limits.tokensPerS() * initialShare;
        concurrentLimit = limits.concurrentRequests() * initialShare;
        if (allotment != null) {
            requestsPerS = Math.min(limits.requestsPerS(), allotment.requestsPerS());
            tokensPerS = Math.min(limits.tokensPerS(), allotment.tokensPerS());
            concurrentLimit = Math.min(limits.concurrentRequests(), allotment.concurrentRequests());
        }
        requests.setRate(requestsPerS, burstMs, nowMs);
        tokens.setRate(tokensPerS, burstMs, nowMs);
    }

    void setAllotment(Event.AllotmentChanged newAllotment, Limits limits, long nowMs) {
        allotment = newAllotment;
        setLimits(limits, nowMs);
    }

    /** Returns whether another request may be admitted; a limit between 0 and 1 admits one request at a time. */
    boolean hasConcurrency() {
        return concurrentLimit > 0 && active < Math.max(1, Math.floor(concurrentLimit));
    }

    CallerView view(List<RankView> ranks) {
        return new CallerView(requests.ratePerS(), tokens.ratePerS(), concurrentLimit, ranks);
    }

    double floorShare() {
        return allotment == null ? initialShare : allotment.floorShare();
    }
}
