package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Renders a report as text. */
final class TextReport {
    private static final int WIDTH = 100;
    private static final int MAX_EVENTS = 40;
    private static final int MAX_GAPS = 20;
    private static final int MAX_IDS = 20;

    private final String deployment;
    private final DayFindings findings;
    private final DaySlots day;
    private final StringBuilder out = new StringBuilder();

    TextReport(String deployment, DayFindings findings) {
        this.deployment = deployment;
        this.findings = findings;
        this.day = findings.summary().day();
    }

    String render() {
        line(Words.printable(deployment) + ", " + day.date() + " (" + day.zone().getId() + ")");
        line("");
        wrapped(findings.sentence(), "");
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
        for (ContractResult result : findings.results()) {
            ServiceTotals service = result.service();
            boolean idle = service.offered() == 0;
            line(row(
                    Words.printable(result.caller()),
                    result.rank().wireName(),
                    idle ? "-" : Words.percent(service.withinDeadlineShare()),
                    Words.count(service.offered()),
                    service.firstToken().count() == 0
                            ? "-"
                            : Words.ms(service.firstToken().percentileMs(95)),
                    service.tokenInterval().count() == 0
                            ? "-"
                            : Words.ms(service.tokenInterval().percentileMs(95)),
                    floor(result),
                    result.status().name().toLowerCase(Locale.ROOT).replace('_', ' ')));
            result.shortfalls().forEach(shortfall -> wrapped(shortfall, "    "));
        }
    }

    private static String floor(ContractResult result) {
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
            for (int slot = 0; slot < day.count(); slot += perHour) {
                hours.append(
                        String.format(Locale.ROOT, "%4s", hour(rank, slot, Math.min(day.count(), slot + perHour))));
            }
            line(hours.toString());
        }
    }

    private String hour(Rank rank, int from, int to) {
        SlotTotals sum = SlotTotals.ZERO;
        for (int slot = from; slot < to; slot++) {
            sum = sum.plus(findings.summary().slot(rank, slot));
        }
        if (sum.entitled() > 0) {
            return Integer.toString((int) (100 * sum.withinDeadline() / sum.entitled()));
        }
        long fromMs = day.slotStartMs(from);
        boolean covered = findings.summary().coverage().stream()
                .anyMatch(coverage -> coverage.slots().nextSetBit(from) >= 0
                        && coverage.slots().nextSetBit(from) < to);
        return fromMs >= findings.nowMs() ? "" : covered ? "." : "?";
    }

    private void events() {
        List<Timeline.Entry> entries = Timeline.of(findings.summary().events());
        if (entries.isEmpty()) {
            return;
        }
        heading("Surges, failures and what the fleet did");
        for (Timeline.Entry entry : entries.subList(0, Math.min(MAX_EVENTS, entries.size()))) {
            String head = String.format(
                    Locale.ROOT,
                    "%s  %-13s ",
                    Words.timeWithSeconds(entry.event().atMs(), day.zone()),
                    entry.event().kind().wireName());
            wrapped(Words.printable(entry.event().subject()) + ": " + entry.text(), head, " ".repeat(head.length()));
        }
        more(entries.size() - MAX_EVENTS + findings.summary().droppedEvents());
    }

    private void charges() {
        ChargeTotals charges = findings.summary().charges();
        heading("Charges (requests that must not be repeated)");
        line(Words.count(charges.run()) + " run, " + Words.count(charges.refused()) + " refused without running, "
                + Words.count(charges.replayed()) + " answered from the record, " + Words.count(charges.inDoubt())
                + " in doubt, " + Words.count(charges.doubled()) + " run twice");
        charges.inDoubtIds().stream().limit(MAX_IDS).forEach(id -> line("  in doubt: " + Words.printable(id)));
        charges.doubledIds().stream().limit(MAX_IDS).forEach(id -> line("  run twice: " + Words.printable(id)));
    }

    private void reasons() {
        Map<Reason, Long> refused = new EnumMap<>(Reason.class);
        Map<Reason, Long> retries = new EnumMap<>(Reason.class);
        for (Rank rank : Rank.values()) {
            ServiceTotals service = findings.summary().service(rank);
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
                        Words.count(entry.getValue()),
                        entry.getKey().wireName(),
                        ReasonText.of(entry.getKey()))));
    }

    private void gaps() {
        if (findings.gaps().isEmpty()) {
            return;
        }
        heading("Missing data");
        findings.gaps().stream()
                .limit(MAX_GAPS)
                .forEach(gap -> line(Words.time(gap.fromMs(), day.zone()) + " to "
                        + Words.endTime(gap.toMs(), day) + "  "
                        + (gap.routerId().isEmpty() ? "no router" : "router " + Words.printable(gap.routerId()))));
        more(findings.gaps().size() - MAX_GAPS);
    }

    private void more(long count) {
        if (count > 0) {
            line("... and " + Words.count(count) + " more");
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
            if (wordsOnLine > 0 && line.length() + 1 + word.length() > WIDTH) {
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
