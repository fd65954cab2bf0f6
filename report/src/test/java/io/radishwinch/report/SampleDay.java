package io.radishwinch.report;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Generates a day of a small fleet from a fixed seed, with or without incidents. */
final class SampleDay {
    static final DaySlots DAY = new DaySlots(LocalDate.of(2026, 12, 3), ZoneId.of("America/Chicago"));

    private static final long MINUTE_MS = 60_000;
    private static final int FAILURE_SLOT = 170;
    private static final int SURGE_SLOT = 240;

    private SampleDay() {}

    static List<Contract> contracts() {
        return List.of(
                contract("clinic-network", Map.of(Rank.INTERACTIVE, new RankTerms(30_000, 400))),
                contract("app-members", Map.of(Rank.INTERACTIVE, new RankTerms(20_000, 0))),
                contract(
                        "support-desk",
                        Map.of(
                                Rank.INTERACTIVE, new RankTerms(15_000, 60),
                                Rank.ACCOUNT_ACTION, new RankTerms(60_000, 0))),
                contract("night-followups", Map.of(Rank.BATCH, new RankTerms(8 * 3_600_000, 20))));
    }

    /**
     * Returns the summary of a day without errors; {@code withIncidents} adds a failure, a surge, charges in doubt and
     * a router that records nothing for some slots.
     */
    static DaySummary summary(boolean withIncidents) {
        Random random = new Random(11);
        DayRecorder first = new DayRecorder("r-1", DAY.zone(), DAY.startMs());
        DayRecorder second = new DayRecorder("r-2", DAY.zone(), DAY.startMs());
        for (int slot = 0; slot < DAY.slotCount(); slot++) {
            for (int i = 0; i < 40; i++) {
                boolean isSecondRouterLost = withIncidents && slot > 200 && slot < 230;
                DayRecorder recorder = i % 2 == 0 || isSecondRouterLost ? first : second;
                long atMs = DAY.slotStartMs(slot) + i * 7_000;
                first.tick(atMs);
                record(recorder, random, slot, i, atMs, withIncidents);
            }
        }
        if (withIncidents) {
            recordEvents(first);
        }
        return first.finalSummary(DAY.endMs() - 1).merge(second.finalSummary(DAY.endMs() - 1));
    }

    private static void record(DayRecorder recorder, Random random, int slot, int i, long atMs, boolean withIncidents) {
        String id = "q-" + slot + "-" + i;
        boolean isFailing = withIncidents && slot >= FAILURE_SLOT && slot < FAILURE_SLOT + 7;
        boolean isSurge = withIncidents && slot >= SURGE_SLOT && slot < SURGE_SLOT + 12;
        String[] callers = {"clinic-network", "app-members", "support-desk", "night-followups"};
        String caller = callers[i % 4];
        Rank rank = i % 4 == 3 ? Rank.BATCH : i % 20 == 2 ? Rank.ACCOUNT_ACTION : Rank.INTERACTIVE;
        RequestOutcome.Builder outcome = RequestOutcome.builder(id, caller, rank, "dreamcoach-24l")
                .withRepeatable(rank != Rank.ACCOUNT_ACTION)
                .withTokens(600 + random.nextInt(400), 1500 + random.nextInt(900))
                .withFirstTokenMs(250 + random.nextInt(800))
                .withTokenIntervalsMs(25 + random.nextInt(25), 80 + random.nextInt(60));
        if (isFailing && rank == Rank.INTERACTIVE && random.nextInt(10) < 9) {
            recorder.record(RequestOutcome.builder(id, caller, rank, "dreamcoach-24l")
                    .failed(Verdict.NOT_RUN, Reason.NO_CAPACITY, atMs));
            recorder.recordRetry(caller, rank, Reason.STAGE_DIED, atMs);
            return;
        }
        if (isFailing && rank == Rank.ACCOUNT_ACTION && slot == FAILURE_SLOT + 1) {
            recorder.record(outcome.failed(Verdict.MAY_HAVE_RUN, Reason.ENDPOINT_TIMEOUT, atMs));
            return;
        }
        recorder.record(outcome.completed(true, atMs));
        if (isSurge && rank == Rank.BATCH) {
            for (int n = 0; n < 12; n++) {
                recorder.record(RequestOutcome.builder(id + "-" + n, caller, rank, "dreamcoach-24l")
                        .failed(Verdict.NOT_RUN, n < 9 ? Reason.DEADLINE_UNREACHABLE : Reason.RATE_LIMITED, atMs));
            }
        }
    }

    private static void recordEvents(DayRecorder recorder) {
        long failure = DAY.slotStartMs(FAILURE_SLOT) + 20_000;
        long surge = DAY.slotStartMs(SURGE_SLOT);
        recordEvent(recorder, failure, FleetEvent.Kind.FAILURE, "rack-4", "eight engines stopped answering");
        recordEvent(
                recorder,
                failure + 2_400,
                FleetEvent.Kind.RESPONSE,
                "dreamcoach-24l",
                "layers 6 to 11 ordered on three spare engines");
        recordEvent(
                recorder, failure + 34 * MINUTE_MS, FleetEvent.Kind.RECOVERY, "rack-4", "all layers are covered again");
        recordEvent(recorder, surge, FleetEvent.Kind.SURGE, "night-followups", "batch work at 13 times its usual rate");
        recordEvent(
                recorder, surge + 900, FleetEvent.Kind.RESPONSE, "batch", "refused early; floors of other ranks kept");
        recordEvent(
                recorder,
                surge + 58 * MINUTE_MS,
                FleetEvent.Kind.SURGE_END,
                "night-followups",
                "back at the usual rate");
        recordEvent(
                recorder,
                DAY.startMs() + 9 * 60 * MINUTE_MS,
                FleetEvent.Kind.CONFIGURATION,
                "app-members",
                "contract changed to version 812 by dana");
        recordEvent(
                recorder,
                DAY.startMs() + 11 * 60 * MINUTE_MS,
                FleetEvent.Kind.DRAIN,
                "vm-17",
                "drained by dana; 4 requests finished");
    }

    private static void recordEvent(
            DayRecorder recorder, long atMs, FleetEvent.Kind kind, String subject, String text) {
        recorder.record(new FleetEvent(atMs, kind, subject, text));
    }

    private static Contract contract(String caller, Map<Rank, RankTerms> ranks) {
        return new Contract(
                caller,
                List.of(),
                1,
                new Limits(1e9, 1e9, 100),
                ranks,
                ranks.keySet().iterator().next(),
                Set.of(),
                Set.of());
    }
}
