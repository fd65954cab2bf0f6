package io.radishwinch.bench;

import io.radishwinch.core.impl.TableDecisionCore.QueueFactory;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Rank;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Service that the other ranks and callers retain in a surge, with the ranked fair queue and with a FIFO queue. */
final class SurgeMeasures {
    private static final long END_MS = 60_000;
    private static final long SETTLE_MS = 10_000;
    private static final double SURGE = 10;
    private static final int SMALL_CALLERS = 8;

    /** Floor of each of the other ranks, as a share of the bound. */
    private static final double FLOOR_SHARE = 0.1;

    private static final long INTERACTIVE_TIMEOUT_MS = 12_000;
    private static final long ACCOUNT_TIMEOUT_MS = 20_000;
    private static final long BATCH_TIMEOUT_MS = 40_000;

    private SurgeMeasures() {}

    static List<Figure> batchSurge() {
        double alone = interactive(Runs.RANKED, false);
        return List.of(Figure.of(
                "core.batch-surge.interactive-retained vs fifo",
                interactive(Runs.RANKED, true) / alone,
                Targets.RETAINED_SHARE,
                "ratio",
                interactive(Runs.FIFO, true) / alone));
    }

    private static double interactive(QueueFactory queues, boolean surge) {
        double bound = CoreMeasures.poolBoundTokensPerS();
        EngineRun run = Runs.run(Runs.config(Runs.contract("clerk", 0), Runs.contract("nightly", 0)), queues);
        Runs.load(run, "clerk", Rank.INTERACTIVE, 0.5 * bound, 0, END_MS, INTERACTIVE_TIMEOUT_MS);
        if (surge) {
            Runs.load(run, "nightly", Rank.BATCH, SURGE * bound, 0, END_MS, BATCH_TIMEOUT_MS);
        }
        run.run(END_MS + BATCH_TIMEOUT_MS);
        return served(run, trace -> trace.spec.rank() == Rank.INTERACTIVE);
    }

    static List<Figure> interactiveSurge() {
        double alone = served(surge(Runs.RANKED, false), SurgeMeasures::isSmall);
        EngineRun ranked = surge(Runs.RANKED, true);
        EngineRun fifo = surge(Runs.FIFO, true);
        List<Figure> figures = new ArrayList<>();
        figures.add(Figure.of(
                "core.interactive-surge.small-retained vs fifo",
                served(ranked, SurgeMeasures::isSmall) / alone,
                Targets.RETAINED_SHARE,
                "ratio",
                served(fifo, SurgeMeasures::isSmall) / alone));
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

    private static boolean isSmall(RequestTrace trace) {
        return trace.spec.caller().startsWith("small");
    }

    private static double floorTokensPerS() {
        return FLOOR_SHARE * CoreMeasures.poolBoundTokensPerS();
    }

    private static EngineRun surge(QueueFactory queues, boolean surge) {
        double bound = CoreMeasures.poolBoundTokensPerS();
        FleetConfig config = Runs.config(
                Runs.contract("clinic", 0),
                Runs.contract("renewals", floorTokensPerS()),
                Runs.contract("nightly", floorTokensPerS()));
        for (int i = 0; i < SMALL_CALLERS; i++) {
            Contract small = Runs.contract("small" + i, 0);
            config = config.withContract(1, small);
        }
        EngineRun run = Runs.run(config, queues);
        for (int i = 0; i < SMALL_CALLERS; i++) {
            Runs.load(run, "small" + i, Rank.INTERACTIVE, 0.02 * bound, 0, END_MS, INTERACTIVE_TIMEOUT_MS);
        }
        Runs.load(run, "renewals", Rank.ACCOUNT_ACTION, 0.15 * bound, 0, END_MS, ACCOUNT_TIMEOUT_MS);
        Runs.load(run, "nightly", Rank.BATCH, 0.3 * bound, 0, END_MS, BATCH_TIMEOUT_MS);
        if (surge) {
            Runs.load(run, "clinic", Rank.INTERACTIVE, SURGE * bound, 0, END_MS, INTERACTIVE_TIMEOUT_MS);
        }
        run.run(END_MS + BATCH_TIMEOUT_MS);
        return run;
    }

    private static double served(EngineRun run, Predicate<RequestTrace> of) {
        long all = run.traces.values().stream().filter(of).count();
        return (double) run.traces.values().stream()
                        .filter(of.and(RequestTrace::isServed))
                        .count()
                / all;
    }

    /** Returns prompt and answer tokens/s that were served within the deadline, relative to the floor. */
    private static double shareOfFloor(EngineRun run, Rank rank) {
        double tokens = run.traces.values().stream()
                .filter(trace -> trace.spec.rank() == rank && trace.isServed())
                .filter(trace -> trace.endedAtMs >= SETTLE_MS && trace.endedAtMs < END_MS)
                .mapToLong(trace -> trace.spec.costTokens())
                .sum();
        return tokens * 1_000 / (END_MS - SETTLE_MS) / floorTokensPerS();
    }
}
