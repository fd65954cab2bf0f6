package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import java.util.Locale;
import java.util.function.IntFunction;

/**
 * Renders two plots of one rank over the day: the share of requests answered in time, and the number of requests.
 *
 * <p>The SVG elements stretch to the width of the page and contain no text, because the text would stretch with them.
 */
final class RankPlot {
    private static final int SHARE_HEIGHT = 100;
    private static final int VOLUME_HEIGHT = 60;
    private static final int HOURS_PER_LABEL = 4;

    private final DayEvaluation evaluation;
    private final DaySummary summary;
    private final DaySlots day;
    private final Rank rank;

    RankPlot(DayEvaluation evaluation, Rank rank) {
        this.evaluation = evaluation;
        this.summary = evaluation.summary();
        this.day = summary.day();
        this.rank = rank;
    }

    void render(Html html) {
        ServiceTotals totals = summary.service(rank);
        long peak = 1;
        for (int slot = 0; slot < day.slotCount(); slot++) {
            peak = Math.max(peak, summary.slot(rank, slot).offered());
        }
        String title = ReportFormat.title(rank.wireName());
        html.raw("<figure><figcaption>").element("b", title).raw("<small>");
        if (totals.offered() == 0) {
            html.text("no requests").raw("</small></figcaption></figure>\n");
            return;
        }
        String latency = totals.firstToken().count() == 0
                ? ""
                : "; first token " + ReportFormat.ms(totals.firstToken().percentileMs(95)) + " at the 95th percentile";
        html.text(ReportFormat.percent(totals.withinDeadlineShare()) + " of "
                + ReportFormat.count(totals.entitled(), "request") + " in time" + latency + "; peak "
                + perMinute(peak));
        html.raw("</small></figcaption>");
        openSvg(html, "share", SHARE_HEIGHT, title + ": share of requests answered in time");
        drawGaps(html, SHARE_HEIGHT);
        drawBars(html, "served", slot -> barPath(slot, 0, withinDeadlineShare(slot), SHARE_HEIGHT));
        drawBars(
                html,
                "short",
                slot -> barPath(slot, withinDeadlineShare(slot), hasEntitled(slot) ? 1 : 0, SHARE_HEIGHT));
        double y = SHARE_HEIGHT * (1 - evaluation.targets().withinDeadlineShare());
        html.raw(String.format(
                Locale.ROOT,
                "<line class=\"target\" x1=\"0\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\"/></svg>",
                day.slotCount(),
                y,
                y));
        double scale = 1.0 / peak;
        openSvg(html, "volume", VOLUME_HEIGHT, title + ": requests");
        drawGaps(html, VOLUME_HEIGHT);
        drawBars(html, "offered", slot -> barPath(slot, 0, totalsOf(slot).entitled() * scale, VOLUME_HEIGHT));
        drawBars(
                html,
                "declined",
                slot -> barPath(
                        slot, totalsOf(slot).entitled() * scale, totalsOf(slot).offered() * scale, VOLUME_HEIGHT));
        html.raw("</svg>");
        renderHourLabels(html, "hours", day);
        html.raw("</figure>\n");
    }

    /** Renders the hour labels below a plot or timeline; positions include daylight saving changes. */
    static void renderHourLabels(Html html, String cssClass, DaySlots day) {
        html.raw("<div class=\"" + cssClass + "\" aria-hidden=\"true\">");
        double dayMs = day.endMs() - day.startMs();
        for (int hour = 0; hour < 24; hour += HOURS_PER_LABEL) {
            long atMs =
                    day.date().atTime(hour, 0).atZone(day.zone()).toInstant().toEpochMilli();
            html.raw(String.format(
                    Locale.ROOT,
                    "<span style=\"left:%.2f%%\">%02d</span>",
                    100 * (atMs - day.startMs()) / dayMs,
                    hour));
        }
        html.raw("</div>");
    }

    private SlotTotals totalsOf(int slot) {
        return summary.slot(rank, slot);
    }

    private boolean hasEntitled(int slot) {
        return totalsOf(slot).entitled() > 0;
    }

    private double withinDeadlineShare(int slot) {
        return hasEntitled(slot)
                ? Math.min(
                        1,
                        (double) totalsOf(slot).withinDeadline()
                                / totalsOf(slot).entitled())
                : 0;
    }

    private void openSvg(Html html, String cssClass, int height, String label) {
        html.raw("<svg class=\"plot " + cssClass + "\" viewBox=\"0 0 " + day.slotCount() + " " + height
                + "\" preserveAspectRatio=\"none\" role=\"img\" aria-label=\"" + Html.escape(label) + "\">");
    }

    private void drawGaps(Html html, int height) {
        for (DataGap gap : evaluation.dataGaps()) {
            double x = (double) (gap.fromMs() - day.startMs()) / DaySlots.SLOT_MS;
            double width = (double) (gap.toMs() - gap.fromMs()) / DaySlots.SLOT_MS;
            if (gap.routerId().isEmpty()) {
                html.raw(String.format(
                        Locale.ROOT,
                        "<rect class=\"gap\" x=\"%.2f\" y=\"0\" width=\"%.2f\" height=\"%d\"/>",
                        x,
                        width,
                        height));
            }
        }
    }

    private void drawBars(Html html, String cssClass, IntFunction<String> bar) {
        StringBuilder path = new StringBuilder();
        for (int slot = 0; slot < day.slotCount(); slot++) {
            path.append(bar.apply(slot));
        }
        if (path.length() > 0) {
            html.raw("<path class=\"" + cssClass + "\" d=\"" + path + "\"/>");
        }
    }

    private static String barPath(int slot, double from, double to, int height) {
        if (to <= from) {
            return "";
        }
        return String.format(Locale.ROOT, "M%d %.1fh1.05V%.1fh-1.05z", slot, height * (1 - from), height * (1 - to));
    }

    private static String perMinute(long perSlot) {
        double perMinute = perSlot * 60_000.0 / DaySlots.SLOT_MS;
        return String.format(Locale.ROOT, perMinute < 10 ? "%.1f a minute" : "%,.0f a minute", perMinute);
    }
}
