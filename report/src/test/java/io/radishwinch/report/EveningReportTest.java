package io.radishwinch.report;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a verdict that omits missed promises, duplicate charges or data gaps, and against names and texts of
 * callers that inject markup into the page or control sequences into a terminal.
 */
class EveningReportTest {
    private static final long EVENING_MS = SampleDay.DAY.endMs();

    private static EveningReport report(DaySummary summary) {
        return EveningReport.of("Quiet Night", summary, SampleDay.contracts(), EVENING_MS);
    }

    @Test
    void verdictOfABadDayNamesCallerReasonAndTime() {
        assertThat(report(SampleDay.summary(true)).verdict())
                .isEqualTo("The day did not go well: support-desk (interactive) fell to 0.0 tokens/s below its floor of"
                        + " 60 tokens/s in 7 periods of 5 min, mostly because the live endpoints did not cover the"
                        + " model, worst at 14:10 after the failure of rack-4; 1 other promise missed; 2 charges are"
                        + " in doubt.");
    }

    @Test
    void verdictOfAGoodDayCountsRequestsAndCallers() {
        EveningReport report = report(SampleDay.summary(false));
        assertThat(report.wentWell()).isTrue();
        assertThat(report.verdict())
                .isEqualTo("The day went well: 11,520 requests from 4 callers, every promise kept, 100% of interactive"
                        + " requests answered in time.");
    }

    @Test
    void dayWithoutSummariesIsNotReportedAsGood() {
        EveningReport report = report(DaySummary.builder(SampleDay.DAY).build());
        assertThat(report.wentWell()).isFalse();
        assertThat(report.verdict()).startsWith("Nothing is known");
    }

    @Test
    void oneDuplicateChargeMakesTheDayBad() {
        DaySummary summary = DaySummary.builder(SampleDay.DAY)
                .add(SampleDay.summary(false))
                .addDuplicateCharge("q-1")
                .build();
        assertThat(report(summary).verdict()).isEqualTo("The day did not go well: 1 charge ran twice.");
    }

    @Test
    void batchRefusalsInASurgeAreANoteWhileTheFloorIsKept() {
        DaySummary.Builder surge = DaySummary.builder(SampleDay.DAY).add(SampleDay.summary(false));
        for (int i = 0; i < 900; i++) {
            surge.add(RequestOutcome.builder("s-" + i, "night-followups", Rank.BATCH, "m")
                    .failed(Verdict.NOT_RUN, Reason.DEADLINE_UNREACHABLE, EVENING_MS - 1));
        }
        assertThat(report(surge.build()).verdict())
                .isEqualTo("The day went well, with notes: night-followups (batch) had 900 requests"
                        + " refused, mostly because there was too much work to meet the deadline.");
        for (int i = 0; i < 200; i++) {
            surge.add(RequestOutcome.builder("l-" + i, "night-followups", Rank.BATCH, "m")
                    .failed(Verdict.MAY_HAVE_RUN, Reason.DEADLINE_EXCEEDED, EVENING_MS - 1));
        }
        assertThat(report(surge.build()).wentWell()).isFalse();
    }

    @Test
    void slowFirstTokensOfInteractiveRequestsMissThePromise() {
        DaySummary.Builder slow = DaySummary.builder(SampleDay.DAY).add(SampleDay.summary(false));
        for (int i = 0; i < 300; i++) {
            slow.add(RequestOutcome.builder("s-" + i, "app-members", Rank.INTERACTIVE, "m")
                    .withFirstTokenMs(1_900)
                    .completed(true, EVENING_MS - 1));
        }
        assertThat(report(slow.build()).verdict())
                .startsWith("The day did not go well: app-members (interactive) waited 1.9")
                .contains("for the first token at the 95th percentile instead of 1.40 s");
    }

    @Test
    void slotsWithoutDataOfARouterAreReportedAsADataGap() {
        DaySummary summary = SampleDay.summary(true);
        assertThat(report(summary).text()).contains("16:45 to 19:10  router r-2");
        assertThat(DataGapFinder.find(SampleDay.summary(false), EVENING_MS)).isEmpty();
    }

    @Test
    void routerWithoutAFinalSummaryLeavesADataGapAfterItsLastWrite() {
        long lastMs = SampleDay.DAY.startMs() + 3_600_000;
        DayRecorder recorder = new DayRecorder("r-9", SampleDay.DAY.zone(), SampleDay.DAY.startMs());
        DaySummary summary = recorder.summary(lastMs).merge(SampleDay.summary(false));
        assertThat(DataGapFinder.find(summary, EVENING_MS))
                .contains(new DataGap("r-9", lastMs, lastMs + DaySlots.SLOT_MS));
    }

    @Test
    void markupAndControlCharactersInNamesAndTextsAreEscaped() {
        String hostile = "<script>alert('x')</script>\"&\u001b[31m\u202e";
        DaySummary summary = DaySummary.builder(SampleDay.DAY)
                .add(SampleDay.summary(false))
                .add(RequestOutcome.builder("q-1", hostile, Rank.INTERACTIVE, "m")
                        .completed(true, EVENING_MS - 1))
                .add(new FleetEvent(EVENING_MS - 5, FleetEvent.Kind.FAILURE, hostile, hostile))
                .addDuplicateCharge(hostile)
                .build();
        EveningReport report = EveningReport.of(hostile, summary, List.of(), EVENING_MS);
        assertThat(report.html())
                .doesNotContain("<script", "alert('", "\u001b", "\u202e")
                .contains("&lt;script&gt;");
        assertThat(report.text()).doesNotContain("\u001b", "\u202e");
    }

    @Test
    void htmlPageReferencesNoExternalResource() {
        assertThat(report(SampleDay.summary(true)).html())
                .doesNotContain("http://", "https://", "src=", "href=", "url(", "@import");
    }
}
