package io.radishwinch.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Renders pool results as SVG.
 *
 * <p>Each pool and load pattern has three panels over the time of the arrivals: the requests/s of the scarcest layer
 * and the share of requests in time, with one line for each variant, and the requests/s of every layer in each data
 * centre for the first variant. There, dark layers have the most capacity, and layers without any are red.
 */
final class PoolPlot {
    private static final int WIDTH = 420;
    private static final int HEIGHT = 140;
    private static final int MARGIN = 50;
    private static final int LEGEND_WIDTH = 130;
    private static final String[] COLOURS = {"#1b6ca8", "#d1495b", "#3a7d44", "#8c5fa8", "#c77d1e"};

    private PoolPlot() {}

    static String svg(List<PoolResult> results) {
        Map<String, List<PoolResult>> rows = new LinkedHashMap<>();
        for (PoolResult result : results) {
            String title = result.pool() + " engines, " + result.pattern().figureName();
            rows.computeIfAbsent(title, key -> new ArrayList<>()).add(result);
        }
        int columnWidth = WIDTH + MARGIN;
        int rowHeight = HEIGHT + MARGIN;
        StringBuilder svg = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\""
                        + " font-size=\"11\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                3 * columnWidth + MARGIN + LEGEND_WIDTH,
                rows.size() * rowHeight + MARGIN));
        int row = 0;
        for (Map.Entry<String, List<PoolResult>> entry : rows.entrySet()) {
            int y = row++ * rowHeight + MARGIN;
            Map<String, List<Double>> capacity = new LinkedHashMap<>();
            Map<String, List<Double>> inTime = new LinkedHashMap<>();
            for (PoolResult result : entry.getValue()) {
                capacity.put(
                        result.variant(),
                        result.samples().stream()
                                .map(LayerCapacitySample::minRequestsPerS)
                                .toList());
                inTime.put(result.variant(), result.inTimeBySecond());
            }
            panel(svg, MARGIN, y, entry.getKey() + ": scarcest layer, requests/s", capacity);
            panel(svg, MARGIN + columnWidth, y, "share in time", inTime);
            layers(svg, MARGIN + 2 * columnWidth, y, entry.getValue().get(0));
            legend(svg, 3 * columnWidth + MARGIN, y, List.copyOf(capacity.keySet()));
        }
        return svg.append("</svg>\n").toString();
    }

    private static void panel(StringBuilder svg, int x, int y, String title, Map<String, List<Double>> series) {
        double max = series.values().stream()
                .flatMap(List::stream)
                .filter(Double::isFinite)
                .mapToDouble(value -> value)
                .max()
                .orElse(0);
        double scale = max == 0 ? 0 : HEIGHT / max;
        int seconds = series.values().stream().mapToInt(List::size).max().orElse(0);
        text(svg, x, y - 6, title);
        text(svg, x - 40, y + 10, String.format(Locale.ROOT, max < 10 ? "%.2f" : "%.0f", max));
        text(svg, x - 40, y + HEIGHT, "0");
        text(svg, x + WIDTH - 30, y + HEIGHT + 14, seconds + " s");
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" fill=\"none\" stroke=\"#999\"/>%n",
                x,
                y,
                WIDTH,
                HEIGHT));
        int colour = 0;
        for (List<Double> values : series.values()) {
            StringBuilder points = new StringBuilder();
            for (int second = 0; second < values.size(); second++) {
                if (Double.isFinite(values.get(second))) {
                    points.append(String.format(
                            Locale.ROOT,
                            "%.1f,%.1f ",
                            x + (second + 0.5) * WIDTH / seconds,
                            y + HEIGHT - scale * values.get(second)));
                }
            }
            svg.append(String.format(
                    "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\" points=\"%s\"/>%n",
                    COLOURS[colour++ % COLOURS.length], points.toString().trim()));
        }
    }

    private static void layers(StringBuilder svg, int x, int y, PoolResult result) {
        List<LayerCapacitySample> samples = result.samples();
        List<String> dataCentres = List.copyOf(samples.get(0).requestsPerS().keySet());
        text(svg, x, y - 6, "requests/s by layer in " + String.join(", ", dataCentres) + " (" + result.variant() + ")");
        double max = samples.stream()
                .flatMap(sample -> sample.requestsPerS().values().stream())
                .flatMapToDouble(Arrays::stream)
                .max()
                .orElse(0);
        int layerCount = BatchingPool.MODEL.layerCount();
        double layerHeight = (double) HEIGHT / dataCentres.size() / layerCount;
        double sampleWidth = (double) WIDTH / samples.size();
        for (int row = 0; row < dataCentres.size() * layerCount; row++) {
            String dataCentre = dataCentres.get(row / layerCount);
            int layer = row % layerCount;
            int first = 0;
            for (int i = 1; i <= samples.size(); i++) {
                double value = samples.get(first).requestsPerS().get(dataCentre)[layer];
                if (i == samples.size() || samples.get(i).requestsPerS().get(dataCentre)[layer] != value) {
                    svg.append(String.format(
                            Locale.ROOT,
                            "<rect x=\"%.1f\" y=\"%.2f\" width=\"%.1f\" height=\"%.2f\" fill=\"%s\"/>%n",
                            x + first * sampleWidth,
                            y + row * layerHeight,
                            (i - first) * sampleWidth,
                            layerHeight,
                            value == 0 ? "#d1495b" : "hsl(210,60%," + Math.round(95 - 70 * value / max) + "%)"));
                    first = i;
                }
            }
        }
    }

    private static void legend(StringBuilder svg, int x, int y, List<String> variants) {
        for (int i = 0; i < variants.size(); i++) {
            svg.append(String.format(
                    "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>%n",
                    x, y + 16 * i, COLOURS[i % COLOURS.length]));
            text(svg, x + 14, y + 16 * i + 9, variants.get(i));
        }
    }

    private static void text(StringBuilder svg, int x, int y, String text) {
        svg.append(String.format("<text x=\"%d\" y=\"%d\">%s</text>%n", x, y, text));
    }
}
