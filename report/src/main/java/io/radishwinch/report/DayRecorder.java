package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import java.time.ZoneId;
import java.util.BitSet;
import java.util.Optional;

/**
 * Records the service of a router during each day. Not thread-safe.
 *
 * <p>The owner calls {@link #tick} at least once per slot and stores the summary that it returns at the end of a day.
 * It stores {@link #summary} at each report interval and {@link #finalSummary} at a planned stop. After a restart with
 * the same router identifier it passes the stored summary to {@link #resume}; otherwise the next write would replace
 * the earlier data.
 */
public final class DayRecorder {
    private final String routerId;
    private final ZoneId zone;
    private DaySummary.Builder builder;
    private DaySlots day;
    private final BitSet recordedSlots = new BitSet();
    private Optional<DaySummary> endedDaySummary = Optional.empty();

    /**
     * Creates a recorder for the day that contains the current time.
     *
     * @param routerId identifier of the router
     * @param zone time zone that defines the start and end of a day
     * @param nowMs current time, in ms since the epoch
     */
    public DayRecorder(String routerId, ZoneId zone, long nowMs) {
        this.routerId = routerId;
        this.zone = zone;
        startDay(nowMs);
    }

    /** Adds the data that this router stored earlier on the same day; a summary of another day is ignored. */
    public void resume(DaySummary stored) {
        if (stored.day().equals(day)) {
            builder.add(stored);
        }
    }

    /** Counts the outcome of one request. */
    public void record(RequestOutcome outcome) {
        advance(outcome.finishedAtMs());
        builder.add(outcome);
    }

    /** Counts one retry. */
    public void recordRetry(String caller, Rank rank, Reason reason, long atMs) {
        advance(atMs);
        builder.addRetry(caller, rank, reason, atMs);
    }

    /** Adds an event. */
    public void record(FleetEvent event) {
        advance(event.atMs());
        builder.add(event);
    }

    /** Counts a non-repeatable request that ran twice. */
    public void recordDuplicateCharge(String requestId, long atMs) {
        advance(atMs);
        builder.addDuplicateCharge(requestId);
    }

    /**
     * Marks the current slot as recorded and starts a new day after midnight.
     *
     * @return the final summary of the previous day, once after it has ended; empty otherwise
     */
    public Optional<DaySummary> tick(long nowMs) {
        advance(nowMs);
        Optional<DaySummary> result = endedDaySummary;
        endedDaySummary = Optional.empty();
        return result;
    }

    /** Returns the day being recorded. */
    public DaySlots day() {
        return day;
    }

    /**
     * Returns a copy of the summary of the day so far, which another thread may encode. With 1,300 callers the copy
     * takes about 40 MB until it is released.
     */
    public DaySummary summary(long nowMs) {
        advance(nowMs);
        return build(nowMs, false);
    }

    /** Returns the summary of the day so far, marked as the final summary of this router. */
    public DaySummary finalSummary(long nowMs) {
        advance(nowMs);
        return build(nowMs, true);
    }

    /**
     * Returns the encoded summary of the day so far without copying the data. Encoding takes longer than copying, so
     * threads that serve requests use {@link #summary} instead.
     *
     * @param maxBytes size limit of the result, in bytes; see {@link DaySummaryCodec#encode(DaySummary, int)}
     */
    public byte[] encodedSummary(long nowMs, int maxBytes) {
        advance(nowMs);
        builder.add(new RecordingCoverage(routerId, recordedSlots, nowMs, false));
        return DaySummaryCodec.encode(builder.liveView(), maxBytes);
    }

    private void advance(long nowMs) {
        if (nowMs >= day.endMs()) {
            endedDaySummary = Optional.of(build(day.endMs(), true));
            startDay(nowMs);
        }
        recordedSlots.set(day.slotOf(nowMs));
    }

    private void startDay(long nowMs) {
        day = DaySlots.of(nowMs, zone);
        builder = DaySummary.builder(day);
        recordedSlots.clear();
        recordedSlots.set(day.slotOf(nowMs));
    }

    private DaySummary build(long recordedUntilMs, boolean isFinal) {
        builder.add(new RecordingCoverage(routerId, recordedSlots, recordedUntilMs, isFinal));
        return builder.build();
    }
}
