package io.radishwinch.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Formats figures as a table and as JSON. */
final class FigureTable {
    private static final ObjectMapper MAPPER = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private static final String ROW = "%-58s %12s %12s %-10s %12s  %s%n";

    private FigureTable() {}

    static void printHeader(PrintStream out) {
        out.printf(ROW, "name", "value", "target", "unit", "baseline", "pass");
    }

    static void print(PrintStream out, Figure figure) {
        Double bound = figure.target().bound();
        out.printf(
                ROW,
                figure.name(),
                number(figure.value()),
                bound == null ? "-" : (figure.target().atLeast() ? ">= " : "<= ") + number(bound),
                figure.unit(),
                figure.baseline() == null ? "-" : number(figure.baseline()),
                figure.meetsTarget() == null ? "-" : figure.meetsTarget() ? "yes" : "NO");
        out.flush();
    }

    /**
     * Returns a JSON array of objects with the fields name, value, target, unit, baseline and pass.
     *
     * <p>An absent target or baseline and a value that is not finite are null.
     */
    static String json(List<Figure> figures) throws IOException {
        ArrayNode array = MAPPER.createArrayNode();
        for (Figure figure : figures) {
            ObjectNode node = array.addObject();
            node.put("name", figure.name());
            node.put("value", finite(figure.value()));
            node.put("target", figure.target().bound());
            node.put("unit", figure.unit());
            node.put("baseline", figure.baseline() == null ? null : finite(figure.baseline()));
            node.put("pass", figure.meetsTarget());
        }
        return MAPPER.writeValueAsString(array);
    }

    static void write(Path file, List<Figure> figures) throws IOException {
        Files.writeString(file, json(figures) + System.lineSeparator());
    }

    /** Returns null for infinity and NaN, which JSON cannot represent. */
    private static Double finite(double value) {
        return Double.isFinite(value) ? value : null;
    }

    private static String number(double value) {
        double magnitude = Math.abs(value);
        return String.format(Locale.ROOT, magnitude >= 1_000 ? "%,.0f" : magnitude >= 10 ? "%.1f" : "%.4f", value);
    }
}
