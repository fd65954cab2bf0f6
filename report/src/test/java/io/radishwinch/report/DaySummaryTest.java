package io.radishwinch.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.LocalDate;
import java.time.ZoneId;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against counts that are lost or doubled when summaries are encoded, merged, coarsened or resumed. */
class DaySummaryTest {
    private static final DaySlots DAY = SampleDay.DAY;

    private static DaySummary random(long seed, int callers, int requests) {
        Random random = new Random(seed);
        DaySummary.Builder builder = DaySummary.builder(DAY);
        for (int i = 0; i < requests; i++) {
            Rank rank = Rank.values()[random.nextInt(3)];
            String caller = "caller-" + (i < callers ? i : random.nextInt(callers));
            long atMs = DAY.startMs() + (long) (random.nextDouble() * 86_400_000);
            RequestOutcome.Builder outcome = RequestOutcome.builder("q-" + seed + "-" + i, caller, rank, "m")
                    .withFirstTokenMs(random.nextInt(3000))
                    .withTokenIntervalsMs(random.nextInt(100), random.nextInt(300))
                    .withTokens(random.nextInt(500), random.nextInt(500))
                    .withRepeatable(random.nextInt(4) > 0);
            Reason reason = Reason.values()[random.nextInt(Reason.values().length)];
            Verdict verdict = random.nextBoolean() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            builder.add(random.nextInt(3) > 0 ? outcome.completed(true, atMs) : outcome.failed(verdict, reason, atMs));
            builder.addRetry(caller, rank, reason, atMs);
        }
        builder.add(new FleetEvent(DAY.startMs() + seed * 1000, FleetEvent.Kind.FAILURE, "e-1", "stopped"));
        return builder.build();
    }

    @Property(seed = "31", tries = 20)
    void mergingIsIndependentOfOrder(@ForAll int seed) {
        DaySummary a = random(seed & 0xff, 5, 40);
        DaySummary b = random((seed >> 8) & 0xff, 7, 40);
        DaySummary c = random((seed >> 16) & 0xff, 3, 40);
        assertThat(DaySummaryCodec.encode(a.merge(b).merge(c))).isEqualTo(DaySummaryCodec.encode(c.merge(a.merge(b))));
    }

    @Test
    void encodingAndDecodingLosesNothing() throws IOException {
        byte[] bytes = DaySummaryCodec.encode(SampleDay.summary(true));
        assertThat(DaySummaryCodec.encode(DaySummaryCodec.decode(bytes))).isEqualTo(bytes);
    }

    @Test
    void largeSummaryIsCoarsenedToTheLimitAndKeepsItsTotals() throws IOException {
        DaySummary large = random(1, DaySummary.MAX_CALLERS + 200, 60_000);
        for (int maxBytes : new int[] {DaySummaryCodec.MAX_BYTES, 200_000, 60_000}) {
            byte[] bytes = DaySummaryCodec.encode(large, maxBytes);
            DaySummary decoded = DaySummaryCodec.decode(bytes);
            assertThat(bytes.length).isLessThanOrEqualTo(maxBytes);
            assertThat(decoded.isCoarsened()).isTrue();
            for (Rank rank : Rank.values()) {
                assertThat(decoded.service(rank).offered())
                        .isEqualTo(large.service(rank).offered());
                assertThat(decoded.service(rank).firstToken().percentileMs(95))
                        .isEqualTo(large.service(rank).firstToken().percentileMs(95));
                assertThat(decoded.service(rank).refused())
                        .isEqualTo(large.service(rank).refused());
            }
        }
    }

    @Test
    void callersBeyondTheLimitAreCountedTogether() {
        DaySummary summary = random(2, DaySummary.MAX_CALLERS + 50, 5_000);
        assertThat(summary.callers()).hasSize(DaySummary.MAX_CALLERS + 1).containsKey(DaySummary.OTHER_CALLERS);
    }

    @Test
    void malformedBytesAreRejected() {
        for (String text : new String[] {"", "[]", "{\"schema\":\"day-summary/v1\",\"date\":\"x\"}", "{"}) {
            assertThatThrownBy(() -> DaySummaryCodec.decode(text.getBytes(StandardCharsets.UTF_8)))
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void eventReportedBySeveralRoutersIsKeptOnceWithItsEarliestTime() {
        DaySummary.Builder builder = DaySummary.builder(DAY);
        long atMs = DAY.startMs() + 100_000;
        for (long delayMs : new long[] {300, 0, 1_200}) {
            builder.add(new FleetEvent(atMs + delayMs, FleetEvent.Kind.FAILURE, "e-1", "stopped"));
        }
        assertThat(builder.build().events())
                .containsExactly(new FleetEvent(atMs, FleetEvent.Kind.FAILURE, "e-1", "stopped"));
    }

    @Test
    void dayEndsAtLocalMidnightAlsoOnDaylightSavingChanges() {
        ZoneId zone = ZoneId.of("Europe/Athens");
        DaySlots longDay = new DaySlots(LocalDate.of(2026, 10, 25), zone);
        assertThat(longDay.slotCount()).isEqualTo(300);
        DayRecorder recorder = new DayRecorder("r-1", zone, longDay.startMs());
        recorder.record(RequestOutcome.builder("q-1", "a", Rank.BATCH, "m").completed(true, longDay.endMs() - 1));
        assertThat(recorder.tick(longDay.endMs() - 1)).isEmpty();
        recorder.record(RequestOutcome.builder("q-2", "a", Rank.BATCH, "m").completed(true, longDay.endMs()));
        Optional<DaySummary> ended = recorder.tick(longDay.endMs() + 1);
        assertThat(ended.orElseThrow().service("a", Rank.BATCH).offered()).isEqualTo(1);
        assertThat(recorder.summary(longDay.endMs() + 2)
                        .service("a", Rank.BATCH)
                        .offered())
                .isEqualTo(1);
        assertThat(recorder.day().date()).isEqualTo(LocalDate.of(2026, 10, 26));
    }

    @Test
    void restartedRouterKeepsItsStoredData() {
        DayRecorder before = new DayRecorder("r-1", DAY.zone(), DAY.startMs());
        before.record(RequestOutcome.builder("q-1", "a", Rank.BATCH, "m").completed(true, DAY.startMs() + 5));
        DaySummary stored = before.summary(DAY.startMs() + 10);
        DayRecorder after = new DayRecorder("r-1", DAY.zone(), DAY.startMs() + 3_600_000);
        after.resume(stored);
        after.record(RequestOutcome.builder("q-2", "a", Rank.BATCH, "m").completed(true, DAY.startMs() + 3_600_001));
        DaySummary summary = after.summary(DAY.startMs() + 3_600_002);
        assertThat(summary.service("a", Rank.BATCH).offered()).isEqualTo(2);
        assertThat(DataGapFinder.find(summary, DAY.startMs() + 3_600_002))
                .extracting(DataGap::routerId)
                .contains("r-1");
    }

    @Test
    void replayedResponseIsNotCountedAsAnotherCharge() {
        RequestOutcome.Builder charge = RequestOutcome.builder("q-1", "a", Rank.ACCOUNT_ACTION, "service:orders")
                .withRepeatable(false);
        DaySummary summary = DaySummary.builder(DAY)
                .add(charge.completed(true, DAY.startMs()))
                .add(charge.withReplayed(true).completed(true, DAY.startMs() + 1))
                .build();
        assertThat(summary.charges().run()).isEqualTo(1);
        assertThat(summary.charges().replayed()).isEqualTo(1);
    }
}
