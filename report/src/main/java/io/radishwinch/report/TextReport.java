package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Renders a report as plain text for a terminal. */
final class TextReport {
    private static final int MAX_LINE_CHARS = 100;
    private static final int MAX_EVENTS = 40;
    private static final int MAX_GAPS = 20;
    private static final int MAX_IDS = 20;

    private final String deployment;
    private final DayEvaluation evaluation;
    private final DaySlots day;
    private final StringBuilder out = new StringBuilder();

    TextReport(String deployment, DayEvaluation evaluation) {
        this.deployment = deployment;
        this.evaluation = evaluation;
        this.day = evaluation.summary().day();
    }

    String render() {
        line(ReportFormat.printable(deployment) + ", " + day.date() + " ("
                + day.zone().getId() + ")");
        line("");
        wrapped(evaluation.verdictSentence(), "");
        contracts();
        ranks();
        events();
        charges();
        reasons();
        gaps();
        return out.toString();
    }

    private void contracts() {
        heading("Promises and service");
        line(row("caller", "rank", "in time", "requests", "first tok.", "interval", "floor", "promise"));
        for (ContractResult result : evaluation.results()) {
            ServiceTotals service = result.service();
            boolean isIdle = service.offered() == 0;
            line(row(
                    ReportFormat.printable(result.caller()),
                    result.rank().wireName(),
                    isIdle ? "-" : ReportFormat.percent(service.withinDeadlineShare()),
                    ReportFormat.count(service.offered()),
                    service.firstToken().count() == 0
                            ? "-"
                            : ReportFormat.ms(service.firstToken().percentileMs(95)),
                    service.tokenInterval().count() == 0
                            ? "-"
                            : ReportFormat.ms(service.tokenInterval().percentileMs(95)),
                    floorText(result),
                    result.status().name().toLowerCase(Locale.ROOT).replace('_', ' ')));
            result.shortfalls().forEach(shortfall -> wrapped(shortfall, "    "));
        }
    }

    private static String floorText(ContractResult result) {
        return switch (result.floor().state()) {
            case NOT_PROMISED -> "-";
            case KEPT -> "kept";
            case MISSED -> "missed";
            case UNKNOWN -> "unknown";
        };
    }

    private static String row(String... cells) {
        return String.format(Locale.ROOT, "%-20s %-15s %8s %10s %10s %9s %8s  %s", (Object[]) cells);
    }

    private void ranks() {
        heading("Answered in time by hour (percent of requests; . no requests, ? no data)");
        for (Rank rank : Rank.values()) {
            StringBuilder hours = new StringBuilder(String.format(Locale.ROOT, "%-15s", rank.wireName()));
            int perHour = (int) (3_600_000 / DaySlots.SLOT_MS);
            for (int slot = 0; slot < day.slotCount(); slot += perHour) {
                hours.append(String.format(
                        Locale.ROOT, "%4s", hourCell(rank, slot, Math.min(day.slotCount(), slot + perHour))));
            }
            line(hours.toString());
        }
    }

    private String hourCell(Rank rank, int fromSlot, int toSlot) {
        SlotTotals sum = SlotTotals.ZERO;
        for (int slot = fromSlot; slot < toSlot; slot++) {
            sum = sum.plus(evaluation.summary().slot(rank, slot));
        }
        if (sum.entitled() > 0) {
            return Integer.toString((int) (100 * sum.withinDeadline() / sum.entitled()));
        }
        long fromMs = day.slotStartMs(fromSlot);
        boolean isRecorded = evaluation.summary().recordingCoverage().stream()
                .anyMatch(coverage -> coverage.slots().nextSetBit(fromSlot) >= 0
                        && coverage.slots().nextSetBit(fromSlot) < toSlot);
        return fromMs >= evaluation.nowMs() ? "" : isRecorded ? "." : "?";
    }

    private void events() {
        List<Timeline.Entry> entries = Timeline.of(evaluation.summary().events());
        if (entries.isEmpty()) {
            return;
        }
        heading("Surges, failures and what the fleet did");
        for (Timeline.Entry entry : entries.subList(0, Math.min(MAX_EVENTS, entries.size()))) {
            String head = String.format(
                    Locale.ROOT,
                    "%s  %-13s ",
                    ReportFormat.timeWithSeconds(entry.event().atMs(), day.zone()),
                    entry.event().kind().wireName());
            wrapped(
                    ReportFormat.printable(entry.event().subject()) + ": " + entry.text(),
                    head,
                    " ".repeat(head.length()));
        }
        omittedCount(entries.size() - MAX_EVENTS + evaluation.summary().droppedEvents());
    }

    private void charges() {
        ChargeTotals charges = evaluation.summary().charges();
        heading("Charges (requests that must not be repeated)");
        line(ReportFormat.count(charges.run()) + " run, " + ReportFormat.count(charges.refused())
                + " refused without running, "
                + ReportFormat.count(charges.replayed()) + " replayed from the record, "
                + ReportFormat.count(charges.inDoubt())
                + " in doubt, " + ReportFormat.count(charges.duplicates()) + " run twice");
        charges.inDoubtIds().stream().limit(MAX_IDS).forEach(id -> line("  in doubt: " + ReportFormat.printable(id)));
        charges.duplicateIds().stream()
                .limit(MAX_IDS)
                .forEach(id -> line("  run twice: " + ReportFormat.printable(id)));
    }

    private void reasons() {
        Map<Reason, Long> refused = new EnumMap<>(Reason.class);
        Map<Reason, Long> retries = new EnumMap<>(Reason.class);
        for (Rank rank : Rank.values()) {
            ServiceTotals service = evaluation.summary().service(rank);
            service.refused().forEach((reason, count) -> refused.merge(reason, count, Long::sum));
            service.failed().forEach((reason, count) -> refused.merge(reason, count, Long::sum));
            service.retries().forEach((reason, count) -> retries.merge(reason, count, Long::sum));
        }
        reasons("Requests refused or failed", refused);
        reasons("Retries", retries);
    }

    private void reasons(String title, Map<Reason, Long> counts) {
        if (counts.isEmpty()) {
            return;
        }
        heading(title);
        counts.entrySet().stream()
                .sorted(Map.Entry.<Reason, Long>comparingByValue().reversed())
                .forEach(entry -> line(String.format(
                        Locale.ROOT,
                        "%10s  %-22s %s",
                        ReportFormat.count(entry.getValue()),
                        entry.getKey().wireName(),
                        ReasonText.of(entry.getKey()))));
    }

    private void gaps() {
        if (evaluation.dataGaps().isEmpty()) {
            return;
        }
        heading("Missing data");
        evaluation.dataGaps().stream()
                .limit(MAX_GAPS)
                .forEach(gap -> line(ReportFormat.time(gap.fromMs(), day.zone()) + " to "
                        + ReportFormat.endTime(gap.toMs(), day) + "  "
                        + (gap.routerId().isEmpty()
                                ? "no router"
                                : "router " + ReportFormat.printable(gap.routerId()))));
        omittedCount(evaluation.dataGaps().size() - MAX_GAPS);
    }

    private void omittedCount(long count) {
        if (count > 0) {
            line("... and " + ReportFormat.count(count) + " more");
        }
    }

    private void heading(String title) {
        line("");
        line(title);
        line("-".repeat(title.length()));
    }

    private void wrapped(String text, String indent) {
        wrapped(text, indent, indent);
    }

    private void wrapped(String text, String head, String indent) {
        StringBuilder line = new StringBuilder(head);
        int wordsOnLine = 0;
        for (String word : text.split(" ")) {
            if (wordsOnLine > 0 && line.length() + 1 + word.length() > MAX_LINE_CHARS) {
                line(line.toString());
                line = new StringBuilder(indent);
                wordsOnLine = 0;
            }
            line.append(wordsOnLine++ == 0 ? "" : " ").append(word);
        }
        line(line.toString());
    }

    private void line(String text) {
        out.append(text.stripTrailing()).append('\n');
    }
}
