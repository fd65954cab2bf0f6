package io.radishwinch.report;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Accumulates the service of one caller in one rank over a day. */
public final class ServiceTotals {
    long offered;
    long admitted;
    long withinDeadline;
    long promptTokens;
    long answerTokens;
    long retriedRequests;
    double worstTokenIntervalMs;
    final Map<Reason, Long> refused = new EnumMap<>(Reason.class);
    final Map<Reason, Long> failed = new EnumMap<>(Reason.class);
    final Map<Reason, Long> retries = new EnumMap<>(Reason.class);
    final SlotSeries slots = new SlotSeries();
    final LatencyHistogram firstToken = new LatencyHistogram();
    final LatencyHistogram tokenInterval = new LatencyHistogram();

    ServiceTotals() {}

    /** Returns the number of requests received. */
    public long offered() {
        return offered;
    }

    /** Returns the number of requests that ran or may have run. */
    public long admitted() {
        return admitted;
    }

    /** Returns the number of complete responses by the deadline. */
    public long withinDeadline() {
        return withinDeadline;
    }

    /** Returns the number of prompt and generated tokens. */
    public long tokens() {
        return promptTokens + answerTokens;
    }

    /** Returns the number of requests that needed more than one attempt. */
    public long retriedRequests() {
        return retriedRequests;
    }

    /** Returns the longest time between two tokens, in ms. */
    public double worstTokenIntervalMs() {
        return worstTokenIntervalMs;
    }

    /** Returns the number of requests that did not run, by reason. */
    public Map<Reason, Long> refused() {
        return Collections.unmodifiableMap(refused);
    }

    /** Returns the number of requests that ran or may have run without a complete response, by reason. */
    public Map<Reason, Long> failed() {
        return Collections.unmodifiableMap(failed);
    }

    /** Returns the number of retries, by reason. */
    public Map<Reason, Long> retries() {
        return Collections.unmodifiableMap(retries);
    }

    /** Returns the histogram of the times to the first token. */
    public LatencyHistogram firstToken() {
        return firstToken;
    }

    /** Returns the histogram of the mean times between tokens, with one value for each request. */
    public LatencyHistogram tokenInterval() {
        return tokenInterval;
    }

    /** Returns the number of prompt and generated tokens of the requests that finished in a slot. */
    public long tokens(int slot) {
        return slots.tokens(slot);
    }

    /** Returns the number of requests that the fleet refused or failed in a slot. */
    public long unserved(int slot) {
        return slots.unserved(slot);
    }

    /**
     * Returns the number of requests that the contract entitles to a response: all except those refused or failed for a
     * reason attributed to the caller.
     */
    public long entitled() {
        return offered - countOf(ReasonAttribution.CALLER);
    }

    /** Returns the number of requests that the fleet refused or failed. */
    public long unserved() {
        return countOf(ReasonAttribution.FLEET);
    }

    /** Returns the share of entitled requests completed by the deadline, from 0 to 1; 1 if there are none. */
    public double withinDeadlineShare() {
        return entitled() <= 0 ? 1 : Math.min(1, (double) withinDeadline / entitled());
    }

    private long countOf(ReasonAttribution attribution) {
        long count = 0;
        for (Map<Reason, Long> byReason : List.of(refused, failed)) {
            for (Map.Entry<Reason, Long> entry : byReason.entrySet()) {
                count += ReasonAttribution.of(entry.getKey()) == attribution ? entry.getValue() : 0;
            }
        }
        return count;
    }

    void add(RequestOutcome outcome, int slot) {
        offered++;
        boolean isRefusal = outcome.verdict() == Verdict.NOT_RUN;
        admitted += isRefusal ? 0 : 1;
        withinDeadline += outcome.isWithinDeadline() && outcome.reason().isEmpty() ? 1 : 0;
        promptTokens += outcome.promptTokens();
        answerTokens += outcome.answerTokens();
        retriedRequests += outcome.retries() > 0 ? 1 : 0;
        worstTokenIntervalMs = Math.max(worstTokenIntervalMs, outcome.worstTokenIntervalMs());
        outcome.reason().ifPresent(reason -> (isRefusal ? refused : failed).merge(reason, 1L, Long::sum));
        firstToken.recordMs(outcome.firstTokenMs());
        tokenInterval.recordMs(outcome.meanTokenIntervalMs());
        long unserved = outcome.reason()
                .filter(reason -> ReasonAttribution.of(reason) == ReasonAttribution.FLEET)
                .map(reason -> 1L)
                .orElse(0L);
        long tokens = (long) outcome.promptTokens() + outcome.answerTokens();
        if (tokens > 0 || unserved > 0) {
            slots.add(slot, tokens, unserved);
        }
    }

    void addRetry(Reason reason) {
        retries.merge(reason, 1L, Long::sum);
    }

    void add(ServiceTotals other) {
        offered += other.offered;
        admitted += other.admitted;
        withinDeadline += other.withinDeadline;
        promptTokens += other.promptTokens;
        answerTokens += other.answerTokens;
        retriedRequests += other.retriedRequests;
        worstTokenIntervalMs = Math.max(worstTokenIntervalMs, other.worstTokenIntervalMs);
        other.refused.forEach((reason, count) -> refused.merge(reason, count, Long::sum));
        other.failed.forEach((reason, count) -> failed.merge(reason, count, Long::sum));
        other.retries.forEach((reason, count) -> retries.merge(reason, count, Long::sum));
        slots.add(other.slots);
        addHistograms(other);
    }

    void addHistograms(ServiceTotals other) {
        firstToken.add(other.firstToken);
        tokenInterval.add(other.tokenInterval);
    }

    ServiceTotals copy() {
        ServiceTotals copy = new ServiceTotals();
        copy.add(this);
        return copy;
    }
}
