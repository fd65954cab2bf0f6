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

/** Renders a report as one self-contained HTML page. */
final class HtmlReport {
    private static final int MAX_VISIBLE_EVENTS = 30;
    private static final int MAX_VISIBLE_CONTRACTS = 40;
    private static final int MAX_GAPS = 50;

    private final String deployment;
    private final DayEvaluation evaluation;
    private final DaySummary summary;
    private final DaySlots day;
    private final Html html = new Html();

    HtmlReport(String deployment, DayEvaluation evaluation) {
        this.deployment = deployment;
        this.evaluation = evaluation;
        this.summary = evaluation.summary();
        this.day = summary.day();
    }

    String render() {
        html.raw("<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n"
                + "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n"
                + "<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none';"
                + " style-src 'unsafe-inline'\">\n");
        html.element("title", deployment + ", " + day.date())
                .raw("\n<style>\n" + Html.resource("report.css") + "</style>\n");
        html.raw("</head>\n<body>\n<main>\n<header>").element("h1", deployment);
        html.element(
                "p",
                ReportFormat.title(day.date().getDayOfWeek().name().toLowerCase(Locale.ROOT)) + ", " + day.date()
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

    private void verdict() {
        DayEvaluation.Rating rating = evaluation.rating();
        String cssClass =
                switch (rating) {
                    case GOOD -> "good";
                    case GOOD_WITH_NOTES, NO_DATA -> "note";
                    case BAD -> "bad";
                };
        String label =
                switch (rating) {
                    case GOOD -> "Went well";
                    case GOOD_WITH_NOTES -> "Went well, with notes";
                    case BAD -> "Did not go well";
                    case NO_DATA -> "No data";
                };
        html.raw("<div class=\"verdict " + cssClass + "\">").element("span", label);
        html.text(evaluation.verdictSentence()).raw("</div>\n");
    }

    private void tiles() {
        html.raw("<div class=\"tiles\">");
        for (Rank rank : Rank.values()) {
            ServiceTotals service = summary.service(rank);
            tile(
                    service.offered() == 0 ? "\u2013" : ReportFormat.percent(service.withinDeadlineShare()),
                    ReportFormat.title(rank.wireName()) + " in time",
                    ReportFormat.count(service.offered(), "request"));
        }
        ChargeTotals charges = summary.charges();
        tile(
                ReportFormat.count(charges.run()),
                "Charges run once",
                ReportFormat.count(charges.inDoubt()) + " in doubt, " + ReportFormat.count(charges.duplicates())
                        + " run twice");
        html.raw("</div>\n");
    }

    private void tile(String value, String label, String detail) {
        html.raw("<div class=\"tile\">")
                .element("b", value)
                .text(label)
                .element("small", detail)
                .raw("</div>");
    }

    private void contracts() {
        html.raw("<section>").element("h2", "What was promised, and what was delivered");
        List<ContractResult> results = evaluation.results();
        if (results.isEmpty()) {
            html.element("p", "There are no contracts and no requests.").raw("</section>\n");
            return;
        }
        List<ContractResult> visible = results;
        if (results.size() > MAX_VISIBLE_CONTRACTS) {
            visible = results.stream()
                    .sorted(Comparator.comparing(
                                    (ContractResult r) -> r.status() == ContractResult.Status.MISSED ? 0 : 1)
                            .thenComparing(r -> -r.service().offered()))
                    .limit(MAX_VISIBLE_CONTRACTS)
                    .toList();
        }
        contractTable(visible);
        if (visible.size() < results.size()) {
            Set<ContractResult> shown = Set.copyOf(visible);
            html.raw("<details>").element("summary", "All " + ReportFormat.count(results.size()) + " lines");
            contractTable(
                    results.stream().filter(result -> !shown.contains(result)).toList());
            html.raw("</details>");
        }
        html.element(
                "p",
                "muted",
                "In time: complete responses by the contract's deadline, of the requests that the contract entitles"
                        + " to one. First token and interval: 95% of requests were at or below. Targets: "
                        + ReportFormat.percent(evaluation.targets().withinDeadlineShare())
                        + " in time; interactive first token "
                        + ReportFormat.ms(evaluation.targets().firstTokenMs()) + ", interval "
                        + ReportFormat.ms(evaluation.targets().tokenIntervalMs()) + ".");
        html.raw("</section>\n");
    }

    private void contractTable(List<ContractResult> results) {
        html.raw("<table class=\"cards\"><thead><tr><th>Caller</th><th>Promise</th><th>Outcome</th>"
                + "<th class=\"n\">In time</th><th class=\"n\">Requests</th><th class=\"n\">First token</th>"
                + "<th class=\"n\">Interval</th><th>Floor</th></tr></thead><tbody>\n");
        for (ContractResult result : results) {
            ServiceTotals service = result.service();
            boolean isIdle = service.offered() == 0;
            html.raw("<tr><td>").element("b", result.caller());
            html.element("small", result.rank().wireName()).raw("</td>");
            html.cell("", "Promise", result.terms().map(HtmlReport::promiseText).orElse("none in effect"));
            html.raw("<td class=\"wide\">");
            badge(result.status());
            result.shortfalls().forEach(shortfall -> html.element("small", shortfall));
            if (result.status() == ContractResult.Status.LIMITED) {
                html.element(
                        "small",
                        ReportFormat.count(service.unserved()) + " refused: "
                                + result.mainReason().map(ReasonText::of).orElse(""));
            }
            html.raw("</td>");
            html.cell("n", "In time", isIdle ? "\u2013" : ReportFormat.percent(service.withinDeadlineShare()));
            html.cell("n", "Requests", ReportFormat.count(service.offered()));
            html.cell("n", "First token", percentile(service.firstToken()));
            html.cell("n", "Interval", percentile(service.tokenInterval()));
            html.cell("", "Floor", floorText(result.floor()));
            html.raw("</tr>\n");
        }
        html.raw("</tbody></table>\n");
    }

    private static String promiseText(RankTerms terms) {
        String deadlineText = "response within " + ReportFormat.duration(terms.timeoutMs());
        return terms.floorTokensPerS() > 0
                ? deadlineText + ", floor " + ReportFormat.rate(terms.floorTokensPerS())
                : deadlineText;
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
        return histogram.count() == 0 ? "\u2013" : ReportFormat.ms(histogram.percentileMs(95));
    }

    private String floorText(Floor floor) {
        return switch (floor.state()) {
            case NOT_PROMISED -> "\u2013";
            case KEPT -> "kept";
            case UNKNOWN -> "not known";
            case MISSED ->
                "missed " + ReportFormat.count(floor.missedSlots(), "time") + ", lowest "
                        + ReportFormat.rate(floor.worstTokensPerS()) + " at "
                        + ReportFormat.time(day.slotStartMs(floor.worstSlot()), day.zone());
        };
    }

    private void plots() {
        html.raw("<section>").element("h2", "Service over the day");
        html.raw("<ul class=\"legend\"><li><i class=\"served\"></i>answered in time</li>"
                + "<li><i class=\"short\"></i>late, failed or refused for lack of capacity</li>"
                + "<li><i class=\"offered\"></i>requests received</li>"
                + "<li><i class=\"declined\"></i>beyond the contract</li>"
                + "<li><i class=\"gap\"></i>no data</li></ul>\n");
        for (Rank rank : Rank.values()) {
            new RankPlot(evaluation, rank).render(html);
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
        RankPlot.renderHourLabels(html, "hours lanehours", day);
        eventList(entries.subList(0, Math.min(entries.size(), MAX_VISIBLE_EVENTS)));
        if (entries.size() > MAX_VISIBLE_EVENTS) {
            html.raw("<details>")
                    .element("summary", ReportFormat.count(entries.size() - MAX_VISIBLE_EVENTS, "further event"));
            eventList(entries.subList(MAX_VISIBLE_EVENTS, entries.size()));
            html.raw("</details>");
        }
        if (summary.droppedEvents() > 0) {
            html.element(
                    "p",
                    "muted",
                    ReportFormat.count(summary.droppedEvents(), "event") + " beyond the limit are not listed.");
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
                long endMs = Math.min(day.endMs(), entry.endMs().orElse(event.atMs()));
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

    private void eventList(List<Timeline.Entry> entries) {
        html.raw("<ol class=\"events\">\n");
        for (Timeline.Entry entry : entries) {
            FleetEvent event = entry.event();
            html.raw("<li>").element("time", ReportFormat.timeWithSeconds(event.atMs(), day.zone()));
            html.element(
                    "span",
                    "kind " + event.kind().wireName(),
                    ReportFormat.title(event.kind().wireName()));
            html.raw("<span>")
                    .element("b", event.subject())
                    .text(" " + entry.text())
                    .raw("</span></li>\n");
        }
        html.raw("</ol>\n");
    }

    private void charges() {
        ChargeTotals charges = summary.charges();
        html.raw("<section>").element("h2", "Charges: requests that must not run twice");
        html.element(
                "p",
                ReportFormat.count(charges.run(), "charge") + " ran once; " + ReportFormat.count(charges.refused())
                        + " refused without running; " + ReportFormat.count(charges.replayed())
                        + " replayed from the record; " + ReportFormat.count(charges.inDoubt()) + " in doubt; "
                        + ReportFormat.count(charges.duplicates()) + " ran twice.");
        requestIdList("In doubt; check the records of the service before charging again", charges.inDoubtIds());
        requestIdList("Ran twice; refund one of each", charges.duplicateIds());
        html.raw("</section>\n");
    }

    private void requestIdList(String title, Set<String> ids) {
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
        html.raw("<table class=\"cards\"><thead><tr>").element("th", title).raw("<th>Caused by</th>");
        for (Rank rank : Rank.values()) {
            html.element("th", "n", ReportFormat.title(rank.wireName()));
        }
        html.raw("</tr></thead><tbody>\n");
        total.entrySet().stream()
                .sorted(Map.Entry.<Reason, Long>comparingByValue().reversed())
                .forEach(entry -> {
                    Reason reason = entry.getKey();
                    html.raw("<tr><td class=\"wide\">").element("b", reason.wireName());
                    html.element("small", ReasonText.of(reason)).raw("</td>");
                    boolean isCausedByCaller = ReasonAttribution.of(reason) == ReasonAttribution.CALLER;
                    html.cell("wide", "Caused by", isCausedByCaller ? "caller" : "fleet");
                    for (Rank rank : Rank.values()) {
                        long count = counts.get(rank).getOrDefault(reason, 0L);
                        html.cell(
                                "n",
                                ReportFormat.title(rank.wireName()),
                                count == 0 ? "\u2013" : ReportFormat.count(count));
                    }
                    html.raw("</tr>\n");
                });
        html.raw("</tbody></table>\n");
    }

    private void gaps() {
        if (evaluation.dataGaps().isEmpty()) {
            return;
        }
        html.raw("<section>").element("h2", "Missing data");
        html.element("p", "What happened in these periods is not counted above.");
        html.raw("<table><tbody>\n");
        evaluation.dataGaps().stream().limit(MAX_GAPS).forEach(gap -> {
            html.raw("<tr>")
                    .element(
                            "td",
                            ReportFormat.time(gap.fromMs(), day.zone()) + " to "
                                    + ReportFormat.endTime(gap.toMs(), day));
            html.element("td", gap.routerId().isEmpty() ? "no router recorded" : "router " + gap.routerId());
            html.raw("</tr>\n");
        });
        html.raw("</tbody></table>");
        if (evaluation.dataGaps().size() > MAX_GAPS) {
            html.element(
                    "p",
                    "muted",
                    "and " + ReportFormat.count(evaluation.dataGaps().size() - MAX_GAPS, "further period"));
        }
        html.raw("</section>\n");
    }

    private void footer() {
        String state = evaluation.isDayOver() ? "" : " The day is not over; the figures are those so far.";
        String detail =
                summary.isCoarsened() ? " Some detail by caller is omitted to limit the size of the summary." : "";
        html.element(
                "footer",
                "Written at " + ReportFormat.time(evaluation.nowMs(), day.zone()) + " from the summaries of "
                        + ReportFormat.count(summary.recordingCoverage().size(), "router") + "." + state + detail);
    }
}
