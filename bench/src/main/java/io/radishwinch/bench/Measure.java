package io.radishwinch.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The measurement run behind {@code bin/measure}: prints one table and optionally writes it as JSON. */
public final class Measure {
    private static final PrintStream OUT = System.out;

    @Parameter(names = "--json", description = "Write the figures to this file, as JSON")
    private String jsonFile = "";

    @Parameter(names = "--only", description = "Run the groups whose name starts with this prefix")
    private String only = "";

    @Parameter(names = "--help", help = true, description = "Print the options")
    private boolean help;

    private Measure() {}

    /** A group of figures that are measured together. */
    @FunctionalInterface
    interface Group {
        List<Figure> run() throws Exception;
    }

    /** Returns all groups by name, in the order of the run. */
    static Map<String, Group> groups() {
        Map<String, Group> groups = new LinkedHashMap<>();
        groups.put("core.throughput", CoreMeasures::throughput);
        groups.put("core.latency", CoreMeasures::latency);
        groups.put("core.batch-surge", SurgeMeasures::batchSurge);
        groups.put("core.interactive-surge", SurgeMeasures::interactiveSurge);
        groups.put("core.recovery", FailureMeasures::recovery);
        groups.put("core.outage", FailureMeasures::outage);
        groups.put("core.crash", FailureMeasures::crashingRequest);
        groups.put("core.leaving", FailureMeasures::leaving);
        return groups;
    }

    /**
     * Runs the measurements.
     *
     * @throws Exception if a measurement fails
     */
    public static void main(String[] args) throws Exception {
        Measure measure = new Measure();
        JCommander commander = JCommander.newBuilder()
                .programName("measure")
                .addObject(measure)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
        if (measure.help) {
            commander.usage();
            return;
        }
        measure.run();
        // Threads of clients that were closed late must not keep the process.
        System.exit(0);
    }

    private void run() throws Exception {
        List<Figure> figures = new ArrayList<>();
        FigureTable.printHeader(OUT);
        for (Map.Entry<String, Group> group : groups().entrySet()) {
            if (group.getKey().startsWith(only)) {
                List<Figure> measured = group.getValue().run();
                measured.forEach(figure -> FigureTable.print(OUT, figure));
                figures.addAll(measured);
            }
        }
        write(figures);
    }

    private void write(List<Figure> figures) throws IOException {
        if (!jsonFile.isEmpty()) {
            FigureTable.write(Path.of(jsonFile), figures);
        }
    }
}
