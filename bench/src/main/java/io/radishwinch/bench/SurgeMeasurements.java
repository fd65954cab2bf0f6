package io.radishwinch.bench;

import io.radishwinch.core.impl.TableDecisionCore.QueueFactory;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Rank;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Measures the service that other ranks and callers retain in a surge, with the ranked fair queue and a FIFO queue. */
final class SurgeMeasurements {
    private static final long END_MS = 60_000;
    private static final long WARM_UP_MS = 10_000;
    private static final double SURGE_FACTOR = 10;
    private static final int SMALL_CALLER_COUNT = 8;

    /** Floor of each of the other ranks relative to the throughput bound. */
    private static final double FLOOR_SHARE_OF_BOUND = 0.1;

    private static final long INTERACTIVE_TIMEOUT_MS = 12_000;
    private static final long ACCOUNT_TIMEOUT_MS = 20_000;
    private static final long BATCH_TIMEOUT_MS = 40_000;

    private SurgeMeasurements() {}

    static List<Figure> batchSurge() {
        double shareWithoutSurge = interactiveServedShare(Simulations.RANKED_QUEUE, false);
        return List.of(Figure.of(
                "core.batch-surge.interactive-retained vs fifo",
                interactiveServedShare(Simulations.RANKED_QUEUE, true) / shareWithoutSurge,
                Targets.RETAINED_SHARE,
                "ratio",
                interactiveServedShare(Simulations.FIFO_QUEUE, true) / shareWithoutSurge));
    }

    private static double interactiveServedShare(QueueFactory queues, boolean surge) {
        double bound = CoreMeasurements.poolBoundTokensPerS();
        EngineSimulation simulation = Simulations.simulation(
                Simulations.fleetConfig(Simulations.contract("clerk", 0), Simulations.contract("nightly", 0)), queues);
        Simulations.addArrivals(simulation, "clerk", Rank.INTERACTIVE, 0.5 * bound, 0, END_MS, INTERACTIVE_TIMEOUT_MS);
        if (surge) {
            Simulations.addArrivals(
                    simulation, "nightly", Rank.BATCH, SURGE_FACTOR * bound, 0, END_MS, BATCH_TIMEOUT_MS);
        }
        simulation.runUntil(END_MS + BATCH_TIMEOUT_MS);
        return servedShare(simulation, trace -> trace.spec.rank() == Rank.INTERACTIVE);
    }

    static List<Figure> interactiveSurge() {
        double shareWithoutSurge =
                servedShare(runInteractiveSurge(Simulations.RANKED_QUEUE, false), SurgeMeasurements::isSmallCaller);
        EngineSimulation ranked = runInteractiveSurge(Simulations.RANKED_QUEUE, true);
        EngineSimulation fifo = runInteractiveSurge(Simulations.FIFO_QUEUE, true);
        List<Figure> figures = new ArrayList<>();
        figures.add(Figure.of(
                "core.interactive-surge.small-retained vs fifo",
                servedShare(ranked, SurgeMeasurements::isSmallCaller) / shareWithoutSurge,
                Targets.RETAINED_SHARE,
                "ratio",
                servedShare(fifo, SurgeMeasurements::isSmallCaller) / shareWithoutSurge));
        for (Rank rank : List.of(Rank.ACCOUNT_ACTION, Rank.BATCH)) {
            figures.add(Figure.of(
                    "core.interactive-surge." + rank.wireName() + "-of-floor vs fifo",
                    shareOfFloor(ranked, rank),
                    Targets.FLOOR_SHARE,
                    "ratio",
                    shareOfFloor(fifo, rank)));
        }
        return figures;
    }

    private static boolean isSmallCaller(RequestTrace trace) {
        return trace.spec.caller().startsWith("small");
    }

    private static double floorTokensPerS() {
        return FLOOR_SHARE_OF_BOUND * CoreMeasurements.poolBoundTokensPerS();
    }

    private static EngineSimulation runInteractiveSurge(QueueFactory queues, boolean surge) {
        double bound = CoreMeasurements.poolBoundTokensPerS();
        FleetConfig config = Simulations.fleetConfig(
                Simulations.contract("clinic", 0),
                Simulations.contract("renewals", floorTokensPerS()),
                Simulations.contract("nightly", floorTokensPerS()));
        for (int i = 0; i < SMALL_CALLER_COUNT; i++) {
            Contract small = Simulations.contract("small" + i, 0);
            config = config.withContract(1, small);
        }
        EngineSimulation simulation = Simulations.simulation(config, queues);
        for (int i = 0; i < SMALL_CALLER_COUNT; i++) {
            Simulations.addArrivals(
                    simulation, "small" + i, Rank.INTERACTIVE, 0.02 * bound, 0, END_MS, INTERACTIVE_TIMEOUT_MS);
        }
        Simulations.addArrivals(
                simulation, "renewals", Rank.ACCOUNT_ACTION, 0.15 * bound, 0, END_MS, ACCOUNT_TIMEOUT_MS);
        Simulations.addArrivals(simulation, "nightly", Rank.BATCH, 0.3 * bound, 0, END_MS, BATCH_TIMEOUT_MS);
        if (surge) {
            Simulations.addArrivals(
                    simulation, "clinic", Rank.INTERACTIVE, SURGE_FACTOR * bound, 0, END_MS, INTERACTIVE_TIMEOUT_MS);
        }
        simulation.runUntil(END_MS + BATCH_TIMEOUT_MS);
        return simulation;
    }

    private static double servedShare(EngineSimulation simulation, Predicate<RequestTrace> filter) {
        long requests = simulation.traces.values().stream().filter(filter).count();
        return (double) simulation.traces.values().stream()
                        .filter(filter.and(RequestTrace::isServed))
                        .count()
                / requests;
    }

    /** Returns the prompt and generated tokens/s of requests served within their deadline, relative to the floor. */
    private static double shareOfFloor(EngineSimulation simulation, Rank rank) {
        double tokens = simulation.traces.values().stream()
                .filter(trace -> trace.spec.rank() == rank && trace.isServed())
                .filter(trace -> trace.endedAtMs >= WARM_UP_MS && trace.endedAtMs < END_MS)
                .mapToLong(trace -> trace.spec.costTokens())
                .sum();
        return tokens * 1_000 / (END_MS - WARM_UP_MS) / floorTokensPerS();
    }
}
