package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import io.radishwinch.report.ContractResult.Floor;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Renders a report as one HTML page. */
final class HtmlReport {
    private static final int MAX_OPEN_EVENTS = 30;
    private static final int MAX_OPEN_CONTRACTS = 40;
    private static final int MAX_GAPS = 50;

    private final String deployment;
    private final DayFindings findings;
    private final DaySummary summary;
    private final DaySlots day;
    private final Html html = new Html();

    HtmlReport(String deployment, DayFindings findings) {
        this.deployment = deployment;
        this.findings = findings;
        this.summary = findings.summary();
        this.day = summary.day();
    }

    String render() {
        html.raw(
                "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
                        + "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n"
                        + "<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; style-src 'unsafe-inline'\">\n");
        html.element("title", deployment + ", " + day.date())
                .raw("\n<style>\n" + Html.resource("report.css") + "</style>\n");
        html.raw("</head>\n<body>\n<main>\n<header>").element("h1", deployment);
        html.element(
                "p",
                Words.title(day.date().getDayOfWeek().name().toLowerCase(Locale.ROOT)) + ", " + day.date()
                        + ", times in " + day.zone().getId());
        html.raw("</header>\n");
        verdict();
        tiles();
        contracts();
        plots();
        timeline();
        charges();
        reasons();
        gaps();
        footer();
        return html.raw("</main>\n</body>\n</html>\n").toString();
    }

    // Top

    private void verdict() {
        DayFindings.Level level = findings.level();
        String cssClass =
                switch (level) {
                    case WELL -> "good";
                    case NOTES, NO_DATA -> "note";
                    case BADLY -> "bad";
                };
        String label =
                switch (level) {
                    case WELL -> "Went well";
                    case NOTES -> "Went well, with notes";
                    case BADLY -> "Did not go well";
                    case NO_DATA -> "No data";
                };
        html.raw("<div class=\"verdict " + cssClass + "\">").element("span", label);
        html.text(findings.sentence()).raw("</div>\n");
    }

    private void tiles() {
        html.raw("<div class=\"tiles\">");
        for (Rank rank : Rank.values()) {
            ServiceTotals service = summary.service(rank);
            tile(
                    service.offered() == 0 ? "\u2013" : Words.percent(service.withinDeadlineShare()),
                    Words.title(rank.wireName()) + " in time",
                    Words.count(service.offered(), "request"));
        }
        ChargeTotals charges = summary.charges();
        tile(
                Words.count(charges.run()),
                "Charges run once",
                Words.count(charges.inDoubt()) + " in doubt, " + Words.count(charges.doubled()) + " run twice");
        html.raw("</div>\n");
    }

    private void tile(String value, String label, String detail) {
        html.raw("<div class=\"tile\">")
                .element("b", value)
                .text(label)
                .element("small", detail)
                .raw("</div>");
    }

    // Contracts

    private void contracts() {
        html.raw("<section>").element("h2", "What was promised, and what was delivered");
        List<ContractResult> results = findings.results();
        if (results.isEmpty()) {
            html.element("p", "There are no contracts and no requests.").raw("</section>\n");
            return;
        }
        List<ContractResult> first = results;
        if (results.size() > MAX_OPEN_CONTRACTS) {
            first = results.stream()
                    .sorted(Comparator.comparing(
                                    (ContractResult r) -> r.status() == ContractResult.Status.MISSED ? 0 : 1)
                            .thenComparing(r -> -r.service().offered()))
                    .limit(MAX_OPEN_CONTRACTS)
                    .toList();
        }
        contractTable(first);
        if (first.size() < results.size()) {
            Set<ContractResult> shown = Set.copyOf(first);
            html.raw("<details>").element("summary", "All " + Words.count(results.size()) + " lines");
            contractTable(
                    results.stream().filter(result -> !shown.contains(result)).toList());
            html.raw("</details>");
        }
        html.element(
                "p",
                "muted",
                "In time: whole answers by the contract's deadline, of the requests that the contract entitles to one. "
                        + "First token and interval: 95% of requests were at or below. Targets: "
                        + Words.percent(findings.targets().inTimeShare()) + " in time; interactive first token "
                        + Words.ms(findings.targets().firstTokenMs()) + ", interval "
                        + Words.ms(findings.targets().tokenIntervalMs()) + ".");
        html.raw("</section>\n");
    }

    private void contractTable(List<ContractResult> results) {
        html.raw("<table class=\"cards\"><thead><tr><th>Caller</th><th>Promise</th><th>Outcome</th>"
                + "<th class=\"n\">In time</th><th class=\"n\">Requests</th><th class=\"n\">First token</th>"
                + "<th class=\"n\">Interval</th><th>Floor</th></tr></thead><tbody>\n");
        for (ContractResult result : results) {
            ServiceTotals service = result.service();
            boolean idle = service.offered() == 0;
            html.raw("<tr><td>").element("b", result.caller());
            html.element("small", result.rank().wireName()).raw("</td>");
            html.cell("", "Promise", result.terms().map(HtmlReport::promise).orElse("none in effect"));
            html.raw("<td class=\"wide\">");
            badge(result.status());
            result.shortfalls().forEach(shortfall -> html.element("small", shortfall));
            if (result.status() == ContractResult.Status.LIMITED) {
                html.element(
                        "small",
                        Words.count(service.unserved()) + " refused: "
                                + result.mainReason().map(ReasonText::of).orElse(""));
            }
            html.raw("</td>");
            html.cell("n", "In time", idle ? "\u2013" : Words.percent(service.withinDeadlineShare()));
            html.cell("n", "Requests", Words.count(service.offered()));
            html.cell("n", "First token", percentile(service.firstToken()));
            html.cell("n", "Interval", percentile(service.tokenInterval()));
            html.cell("", "Floor", floor(result.floor()));
            html.raw("</tr>\n");
        }
        html.raw("</tbody></table>\n");
    }

    private static String promise(RankTerms terms) {
        String answer = "answer within " + Words.duration(terms.timeoutMs());
        return terms.floorTokensPerS() > 0 ? answer + ", floor " + Words.rate(terms.floorTokensPerS()) : answer;
    }

    private void badge(ContractResult.Status status) {
        switch (status) {
            case KEPT -> html.element("span", "badge good", "kept");
            case MISSED -> html.element("span", "badge bad", "not kept");
            case LIMITED -> html.element("span", "badge note", "limited in a surge");
            case NO_REQUESTS -> html.element("span", "badge idle", "no requests");
        }
    }

    private static String percentile(LatencyHistogram histogram) {
        return histogram.count() == 0 ? "\u2013" : Words.ms(histogram.percentileMs(95));
    }

    private String floor(Floor floor) {
        return switch (floor.state()) {
            case NOT_PROMISED -> "\u2013";
            case KEPT -> "kept";
            case UNKNOWN -> "not known";
            case MISSED ->
                "missed " + Words.count(floor.missedSlots(), "time") + ", lowest "
                        + Words.rate(floor.worstTokensPerS()) + " at "
                        + Words.time(day.slotStartMs(floor.worstSlot()), day.zone());
        };
    }

    // Plots and timeline

    private void plots() {
        html.raw("<section>").element("h2", "Service over the day");
        html.raw("<ul class=\"legend\"><li><i class=\"served\"></i>answered in time</li>"
                + "<li><i class=\"short\"></i>late, failed or refused for lack of capacity</li>"
                + "<li><i class=\"offered\"></i>requests received</li>"
                + "<li><i class=\"declined\"></i>beyond the contract</li>"
                + "<li><i class=\"gap\"></i>no data</li></ul>\n");
        for (Rank rank : Rank.values()) {
            new RankPlot(findings, rank).render(html);
        }
        html.raw("</section>\n");
    }

    private void timeline() {
        List<Timeline.Entry> entries = Timeline.of(summary.events());
        html.raw("<section>").element("h2", "Surges, failures and what the fleet did");
        if (entries.isEmpty()) {
            html.element("p", "Nothing was recorded.").raw("</section>\n");
            return;
        }
        lane("Surges", entries, FleetEvent.Kind.SURGE);
        lane("Failures", entries, FleetEvent.Kind.FAILURE);
        lane("Recoveries", entries, FleetEvent.Kind.RECOVERY);
        lane("Fleet acted", entries, FleetEvent.Kind.RESPONSE);
        lane("Operators", entries, FleetEvent.Kind.CONFIGURATION, FleetEvent.Kind.DRAIN);
        RankPlot.hours(html, "hours lanehours", day);
        events(entries.subList(0, Math.min(entries.size(), MAX_OPEN_EVENTS)));
        if (entries.size() > MAX_OPEN_EVENTS) {
            html.raw("<details>").element("summary", Words.count(entries.size() - MAX_OPEN_EVENTS, "further event"));
            events(entries.subList(MAX_OPEN_EVENTS, entries.size()));
            html.raw("</details>");
        }
        if (summary.droppedEvents() > 0) {
            html.element(
                    "p", "muted", Words.count(summary.droppedEvents(), "event") + " beyond the bound are not kept.");
        }
        html.raw("</section>\n");
    }

    private void lane(String title, List<Timeline.Entry> entries, FleetEvent.Kind... kinds) {
        Set<FleetEvent.Kind> wanted = Set.of(kinds);
        html.raw("<div class=\"lane\">").element("span", title).raw("<div class=\"track\">");
        double dayMs = day.endMs() - day.startMs();
        for (Timeline.Entry entry : entries) {
            FleetEvent event = entry.event();
            if (wanted.contains(event.kind()) && day.contains(event.atMs())) {
                long endMs = Math.min(day.endMs(), entry.untilMs().orElse(event.atMs()));
                String cssClass =
                        switch (event.kind()) {
                            case SURGE, FAILURE -> "short";
                            case RECOVERY -> "recovered";
                            default -> "acted";
                        };
                html.raw(String.format(
                        Locale.ROOT,
                        "<i class=\"%s\" style=\"left:%.2f%%;width:%.2f%%\" title=\"%s\"></i>",
                        cssClass,
                        Math.min(99.5, 100 * (event.atMs() - day.startMs()) / dayMs),
                        100 * (endMs - event.atMs()) / dayMs,
                        Html.escape(event.subject())));
            }
        }
        html.raw("</div></div>\n");
    }

    private void events(List<Timeline.Entry> entries) {
        html.raw("<ol class=\"events\">\n");
        for (Timeline.Entry entry : entries) {
            FleetEvent event = entry.event();
            html.raw("<li>").element("time", Words.timeWithSeconds(event.atMs(), day.zone()));
            html.element(
                    "span",
                    "kind " + event.kind().wireName(),
                    Words.title(event.kind().wireName()));
            html.raw("<span>")
                    .element("b", event.subject())
                    .text(" " + entry.text())
                    .raw("</span></li>\n");
        }
        html.raw("</ol>\n");
    }

    // Charges, reasons and gaps

    private void charges() {
        ChargeTotals charges = summary.charges();
        html.raw("<section>").element("h2", "Charges: requests that must not run twice");
        html.element(
                "p",
                Words.count(charges.run(), "charge") + " ran once; " + Words.count(charges.refused())
                        + " refused without running; " + Words.count(charges.replayed())
                        + " repeats answered from the record; " + Words.count(charges.inDoubt()) + " in doubt; "
                        + Words.count(charges.doubled()) + " ran twice.");
        ids("In doubt; compare with the service's own books before anyone charges again", charges.inDoubtIds());
        ids("Ran twice; refund one of each", charges.doubledIds());
        html.raw("</section>\n");
    }

    private void ids(String title, Set<String> ids) {
        if (!ids.isEmpty()) {
            html.raw("<details" + (ids.size() <= 10 ? " open" : "") + ">")
                    .element("summary", title)
                    .raw("<ul>");
            ids.forEach(id -> html.raw("<li>").element("code", id).raw("</li>"));
            html.raw("</ul></details>\n");
        }
    }

    private void reasons() {
        Map<Rank, Map<Reason, Long>> refused = new EnumMap<>(Rank.class);
        Map<Rank, Map<Reason, Long>> retries = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            ServiceTotals service = summary.service(rank);
            Map<Reason, Long> counts = new EnumMap<>(Reason.class);
            counts.putAll(service.refused());
            service.failed().forEach((reason, count) -> counts.merge(reason, count, Long::sum));
            refused.put(rank, counts);
            retries.put(rank, service.retries());
        }
        html.raw("<section>").element("h2", "Refused, failed and retried requests");
        reasonTable("Refused or failed", refused);
        reasonTable("Retried", retries);
        html.raw("</section>\n");
    }

    private void reasonTable(String title, Map<Rank, Map<Reason, Long>> counts) {
        Map<Reason, Long> total = new EnumMap<>(Reason.class);
        counts.values().forEach(byReason -> byReason.forEach((reason, count) -> total.merge(reason, count, Long::sum)));
        total.values().removeIf(count -> count == 0);
        if (total.isEmpty()) {
            html.element("p", title + ": none.");
            return;
        }
        html.raw("<table class=\"cards\"><thead><tr>").element("th", title).raw("<th>Whose doing</th>");
        for (Rank rank : Rank.values()) {
            html.element("th", "n", Words.title(rank.wireName()));
        }
        html.raw("</tr></thead><tbody>\n");
        total.entrySet().stream()
                .sorted(Map.Entry.<Reason, Long>comparingByValue().reversed())
                .forEach(entry -> {
                    Reason reason = entry.getKey();
                    html.raw("<tr><td class=\"wide\">").element("b", reason.wireName());
                    html.element("small", ReasonText.of(reason)).raw("</td>");
                    boolean callers = Responsibility.of(reason) == Responsibility.CALLER;
                    html.cell("wide", "Whose doing", callers ? "caller" : "fleet");
                    for (Rank rank : Rank.values()) {
                        long count = counts.get(rank).getOrDefault(reason, 0L);
                        html.cell("n", Words.title(rank.wireName()), count == 0 ? "\u2013" : Words.count(count));
                    }
                    html.raw("</tr>\n");
                });
        html.raw("</tbody></table>\n");
    }

    private void gaps() {
        if (findings.gaps().isEmpty()) {
            return;
        }
        html.raw("<section>").element("h2", "Missing data");
        html.element("p", "What happened in these periods is not counted above.");
        html.raw("<table><tbody>\n");
        findings.gaps().stream().limit(MAX_GAPS).forEach(gap -> {
            html.raw("<tr>")
                    .element("td", Words.time(gap.fromMs(), day.zone()) + " to " + Words.endTime(gap.toMs(), day));
            html.element("td", gap.routerId().isEmpty() ? "no router recorded" : "router " + gap.routerId());
            html.raw("</tr>\n");
        });
        html.raw("</tbody></table>");
        if (findings.gaps().size() > MAX_GAPS) {
            html.element("p", "muted", "and " + Words.count(findings.gaps().size() - MAX_GAPS, "further period"));
        }
        html.raw("</section>\n");
    }

    private void footer() {
        String state = findings.isDayOver() ? "" : " The day is not over; the figures are those so far.";
        String detail = summary.isCoarsened() ? " Detail of some callers was left out to keep the summary small." : "";
        html.element(
                "footer",
                "Written at " + Words.time(findings.nowMs(), day.zone()) + " from the summaries of "
                        + Words.count(summary.coverage().size(), "router") + "." + state + detail);
    }
}
