package io.radishwinch.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Main class of {@code bin/measure}: runs the measurements, prints a table and optionally writes the figures as JSON.
 */
public final class Measure {
    private static final PrintStream OUT = System.out;
    private static final String LOAD = "load";

    @Parameter(names = "--json", description = "Write the figures to this file, as JSON")
    private String jsonFile = "";

    @Parameter(names = "--only", description = "Run the groups whose name starts with this prefix")
    private String only = "";

    @Parameter(names = "--plot", description = "Write the plots of the pool groups to this file, as SVG")
    private String plotFile = "";

    @Parameter(names = "--help", help = true, description = "Print the options")
    private boolean help;

    private final PoolMeasurements pool = new PoolMeasurements();

    private Measure() {}

    /** A group of figures that one measurement returns. */
    @FunctionalInterface
    interface Group {
        List<Figure> run() throws Exception;
    }

    /** Returns all groups by name, in the order in which they run. */
    static Map<String, Group> groups(PoolMeasurements pool) {
        Map<String, Group> groups = new LinkedHashMap<>();
        groups.put("core.throughput", CoreMeasurements::throughput);
        groups.put("core.latency", CoreMeasurements::latency);
        groups.put("core.batch-surge", SurgeMeasurements::batchSurge);
        groups.put("core.interactive-surge", SurgeMeasurements::interactiveSurge);
        groups.put("core.recovery", FailureMeasurements::recovery);
        groups.put("core.outage", FailureMeasurements::outage);
        groups.put("core.crash", FailureMeasurements::crashingRequest);
        groups.put("core.leaving", FailureMeasurements::leavingDelay);
        groups.put("cluster.configuration", ClusterMeasurements::configurationDelay);
        groups.put("cluster.detection", ClusterMeasurements::failureDetection);
        groups.put("cluster.leaving", ClusterMeasurements::leavingPropagation);
        groups.put("cluster.limits", ClusterMeasurements::limitAccuracy);
        groups.put("cluster.control", ClusterMeasurements::controlTraffic);
        groups.put("cluster.journal", JournalMeasurement::run);
        groups.put("speed.decision", SpeedMeasurements::decisionTime);
        groups.put("speed.tick", SpeedMeasurements::tickTime);
        groups.put("speed.memory", SpeedMeasurements::memoryUse);
        for (PoolMeasurements.Setup setup : PoolMeasurements.SETUPS) {
            groups.put("pool." + setup.name(), () -> pool.run(setup));
        }
        groups.put(LOAD, LoadMeasurement::run);
        return groups;
    }

    /** The load group needs a separate JVM with a small heap, so it runs only if a prefix selects it. */
    private boolean isSelected(String group) {
        return group.startsWith(only) && (!group.equals(LOAD) || !only.isEmpty());
    }

    /** Runs the measurements and exits with 0, with 1 if one of them throws, or with 2 for invalid options. */
    public static void main(String[] args) {
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
        int exitCode = 0;
        try {
            measure.run();
        } catch (Exception e) {
            e.printStackTrace();
            exitCode = 1;
        }
        // The event loops of the load group would keep the process alive.
        System.exit(exitCode);
    }

    private void run() throws Exception {
        List<Figure> figures = new ArrayList<>();
        FigureTable.printHeader(OUT);
        for (Map.Entry<String, Group> group : groups(pool).entrySet()) {
            if (isSelected(group.getKey())) {
                List<Figure> groupFigures = group.getValue().run();
                groupFigures.forEach(figure -> FigureTable.print(OUT, figure));
                figures.addAll(groupFigures);
            }
        }
        write(figures);
    }

    private void write(List<Figure> figures) throws IOException {
        if (!jsonFile.isEmpty()) {
            FigureTable.write(Path.of(jsonFile), figures);
        }
        if (!plotFile.isEmpty()) {
            Files.writeString(Path.of(plotFile), PoolPlot.svg(pool.results()));
        }
    }
}
