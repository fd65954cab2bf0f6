package io.radishwinch.server;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.report.FleetEvent;
import io.radishwinch.report.RequestOutcome;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/**
 * Detects surges by rank: windows in which many requests are refused because limits or capacity are exceeded. The end
 * threshold is lower than the start threshold, so that a surge near the threshold is reported once.
 */
final class SurgeDetector {
    private static final long WINDOW_MS = 10_000;
    private static final int MIN_REQUESTS = 20;
    private static final double START_THRESHOLD = 0.2;
    private static final double END_THRESHOLD = 0.05;
    private static final Set<Reason> OVERLOAD_REASONS =
            EnumSet.of(Reason.RATE_LIMITED, Reason.CONCURRENCY_LIMITED, Reason.QUEUE_FULL, Reason.DEADLINE_UNREACHABLE);

    private final Recorder recorder;
    private final Map<Rank, Integer> requests = new EnumMap<>(Rank.class);
    private final Map<Rank, Integer> overloaded = new EnumMap<>(Rank.class);
    private final Set<Rank> surgingRanks = EnumSet.noneOf(Rank.class);
    private long windowEndMs = Long.MIN_VALUE;

    /** Receives the start and end of surges. */
    @FunctionalInterface
    interface Recorder {
        void record(FleetEvent.Kind kind, String subject, String text);
    }

    SurgeDetector(Recorder recorder) {
        this.recorder = recorder;
    }

    void recordOutcome(RequestOutcome outcome) {
        requests.merge(outcome.rank(), 1, Integer::sum);
        if (outcome.reason().filter(OVERLOAD_REASONS::contains).isPresent()) {
            overloaded.merge(outcome.rank(), 1, Integer::sum);
        }
    }

    void tick(long nowMs) {
        if (nowMs < windowEndMs) {
            return;
        }
        windowEndMs = nowMs + WINDOW_MS;
        for (Rank rank : Rank.values()) {
            detectSurge(rank, requests.getOrDefault(rank, 0), overloaded.getOrDefault(rank, 0));
        }
        requests.clear();
        overloaded.clear();
    }

    private void detectSurge(Rank rank, int total, int refused) {
        double share = total == 0 ? 0 : (double) refused / total;
        String counts = refused + " of " + total + " requests refused for overload within 10 s";
        if (total >= MIN_REQUESTS && share >= START_THRESHOLD && surgingRanks.add(rank)) {
            recorder.record(FleetEvent.Kind.SURGE, rank.wireName(), counts);
        } else if (share <= END_THRESHOLD && surgingRanks.remove(rank)) {
            recorder.record(FleetEvent.Kind.SURGE_END, rank.wireName(), counts);
        }
    }
}
