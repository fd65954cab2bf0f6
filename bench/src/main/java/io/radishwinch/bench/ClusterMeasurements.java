package io.radishwinch.bench;

import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.allotment.CallerLimits;
import io.radishwinch.cluster.allotment.LoadVector;
import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.VirtualScheduler;
import io.radishwinch.cluster.platform.WatchFollower;
import io.radishwinch.protocol.generated.EntryKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Measures the propagation delay, the accuracy and the cost of the state that routers share. */
final class ClusterMeasurements {
    private static final int SEED_COUNT = 5;
    private static final double FRAME_LOSS_RATIO = 0.02;
    private static final long TIMEOUT_MS = 60_000;
    private static final int CALLER_COUNT = 1_300;
    private static final double FLEET_REQUESTS_PER_S = 8_200;
    private static final int FLEET_ROUTER_COUNT = 360;

    private ClusterMeasurements() {}

    /**
     * Returns the longest time from an accepted write until it is in effect at all of 24 routers.
     *
     * <p>Platform calls take 1 to 4 s, and 2% of the frames are lost.
     */
    static List<Figure> configurationDelay() {
        double slowest = 0;
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            slowest = Math.max(slowest, configurationDelayMs(seed));
        }
        return List.of(
                Figure.of("cluster.configuration.slow-platform-24-routers", slowest, Targets.CONFIGURATION_MS, "ms"));
    }

    private static double configurationDelayMs(long seed) {
        ClusterSimulation simulation = new ClusterSimulation(3, 8, seed);
        simulation.frameLossRatio = FRAME_LOSS_RATIO;
        VirtualScheduler scheduler = new VirtualScheduler(simulation.nowMs);
        InMemoryPlatform platform = new InMemoryPlatform(scheduler, simulation.random);
        platform.faults().setLatencyMs(1_000, 4_000);
        simulation.clockListener = scheduler::runUntil;
        for (PeerNode node : simulation.liveNodes()) {
            if (node.isPlatformWatcher()) {
                new WatchFollower(
                                platform,
                                scheduler,
                                simulation.random,
                                "config/",
                                change -> node.offerConfiguration(
                                        change.key(),
                                        change.version(),
                                        change.value().orElse(null),
                                        scheduler.nowMs()))
                        .start();
            }
        }
        simulation.runFor(20_000);
        List<Long> accepted = new ArrayList<>();
        platform.put("config/contracts/app", 0, new byte[800], "n")
                .subscribe()
                .with(result -> accepted.add(simulation.nowMs));
        simulation.runUntilTrue(TIMEOUT_MS, () -> !accepted.isEmpty());
        return simulation.runUntilTrue(TIMEOUT_MS, () -> simulation.liveNodes().stream()
                .allMatch(node ->
                        node.configuration().object("config/contracts/app").isPresent()));
    }

    /** Returns the longest time until no router lists a failed router as a member, with 2% of the frames lost. */
    static List<Figure> failureDetection() {
        List<Figure> figures = new ArrayList<>();
        for (int size : new int[] {8, 30}) {
            double slowest = 0;
            for (int seed = 1; seed <= SEED_COUNT; seed++) {
                ClusterSimulation simulation = new ClusterSimulation(1, size, seed);
                simulation.frameLossRatio = FRAME_LOSS_RATIO;
                ClusterSimulation.SimulatedRouter failed = simulation.routers.get(seed);
                String id = failed.node.self().id();
                failed.isAlive = false;
                slowest = Math.max(slowest, simulation.runUntilTrue(TIMEOUT_MS, () -> simulation.liveNodes().stream()
                        .noneMatch(node -> node.members().stream()
                                .anyMatch(member -> member.id().equals(id)))));
            }
            figures.add(Figure.of("cluster.detection.failed-router-of-" + size, slowest, Targets.DETECTION_MS, "ms"));
        }
        return figures;
    }

    /** Returns the longest time until 30 routers know a leaving marker of one of them, with 2% of the frames lost. */
    static List<Figure> leavingPropagation() {
        double slowest = 0;
        for (int seed = 1; seed <= SEED_COUNT; seed++) {
            ClusterSimulation simulation = new ClusterSimulation(1, 30, seed);
            simulation.frameLossRatio = FRAME_LOSS_RATIO;
            simulation
                    .routers
                    .get(0)
                    .node
                    .publish(EntryKind.LEAVING, "e1", new byte[] {1}, simulation.nowMs + TIMEOUT_MS, simulation.nowMs);
            slowest = Math.max(slowest, simulation.runUntilTrue(TIMEOUT_MS, () -> simulation.liveNodes().stream()
                    .allMatch(node -> node.entry(EntryKind.LEAVING, "e1").isPresent())));
        }
        return List.of(Figure.of("cluster.leaving.marker-at-30-routers", slowest, Targets.LEAVING_MS, "ms"));
    }

    private static final double LIMIT_TOKENS_PER_S = 10_000;
    private static final String CALLER = "clinic";

    /** Offered load at 8 routers, in tokens/s; each row is one phase of the run. */
    private static final double[][] OFFERED_TOKENS_PER_S = {
        {9_000, 3_000, 500, 100, 10, 0, 0, 0},
        {0, 0, 0, 0, 0, 0, 20_000, 100},
        {200, 300, 400, 100, 100, 200, 100, 300},
        {5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000},
        {0, 0, 0, 100_000, 0, 0, 0, 0},
    };

    /**
     * Returns the largest limit error from 3 to 13 s after a change of the load, and the longest convergence time.
     *
     * <p>The convergence time is the time until the error stays within its target.
     */
    static List<Figure> limitAccuracy() {
        ClusterSimulation simulation = new ClusterSimulation(1, 8, 1);
        CallerLimits limits = new CallerLimits(new LoadVector(100, LIMIT_TOKENS_PER_S, 80), 1_500);
        simulation.liveNodes().forEach(node -> node.setLimits(Map.of(CALLER, limits)));
        double worstError = 0;
        double evenError = 0;
        double slowestMs = 0;
        for (double[] offered : OFFERED_TOKENS_PER_S) {
            double lastOutsideMs = 0;
            for (long ms = 0; ms < 13_000; ms += 100) {
                if (ms % 500 == 0) {
                    reportDemand(simulation, offered);
                }
                simulation.runFor(100);
                double error = limitError(simulation, offered);
                lastOutsideMs = error > Targets.LIMIT_ERROR.bound() ? ms + 100 : lastOutsideMs;
                worstError = ms >= Targets.CONVERGENCE_MS.bound() ? Math.max(worstError, error) : worstError;
            }
            slowestMs = Math.max(slowestMs, lastOutsideMs);
            evenError = Math.max(evenError, evenShareLimitError(offered));
        }
        return List.of(
                Figure.of(
                        "cluster.limits.error-at-8-routers vs even shares",
                        worstError,
                        Targets.LIMIT_ERROR,
                        "ratio",
                        evenError),
                Figure.of("cluster.limits.convergence", slowestMs, Targets.CONVERGENCE_MS, "ms"));
    }

    private static void reportDemand(ClusterSimulation simulation, double[] offered) {
        for (int i = 0; i < offered.length; i++) {
            LoadVector amounts = new LoadVector(offered[i] / 100, offered[i], offered[i] / 125);
            simulation.routers.get(i).node.recordOfferedLoad(Map.of(CALLER, amounts), simulation.nowMs);
        }
    }

    private static double limitError(ClusterSimulation simulation, double[] offered) {
        double admitted = 0;
        double demand = 0;
        for (int i = 0; i < offered.length; i++) {
            double share = simulation.routers.get(i).node.share(CALLER).limits().tokensPerS();
            admitted += Math.min(offered[i], share);
            demand += offered[i];
        }
        return Math.abs(admitted - Math.min(demand, LIMIT_TOKENS_PER_S)) / LIMIT_TOKENS_PER_S;
    }

    private static double evenShareLimitError(double[] offered) {
        double admitted = 0;
        double demand = 0;
        for (double tokensPerS : offered) {
            admitted += Math.min(tokensPerS, LIMIT_TOKENS_PER_S / offered.length);
            demand += tokensPerS;
        }
        return Math.abs(admitted - Math.min(demand, LIMIT_TOKENS_PER_S)) / LIMIT_TOKENS_PER_S;
    }

    /** Returns the mean bytes/s and CPU use of the busiest node, with the number of callers of the design target. */
    static List<Figure> controlTraffic() {
        List<Figure> figures = new ArrayList<>();
        for (int size : new int[] {8, 30}) {
            ClusterSimulation simulation = new ClusterSimulation(1, size, size);
            Map<String, CallerLimits> limits = new HashMap<>();
            for (int c = 0; c < CALLER_COUNT; c++) {
                double requestsPerS = 2 * callerRequestsPerS(c);
                limits.put("caller-" + c, new CallerLimits(new LoadVector(requestsPerS, requestsPerS * 300, 50), 10));
            }
            simulation.liveNodes().forEach(node -> node.setLimits(limits));
            runDesignLoad(simulation, 10);
            simulation.routers.forEach(router -> {
                router.sentBytes = 0;
                router.cpuNs = 0;
            });
            int seconds = 20;
            runDesignLoad(simulation, seconds);
            double bytes = simulation.routers.stream()
                            .mapToLong(r -> r.sentBytes)
                            .max()
                            .orElse(0)
                    / (double) seconds;
            double cpu =
                    simulation.routers.stream().mapToLong(r -> r.cpuNs).max().orElse(0) / 1e9 / seconds;
            figures.add(Figure.of(
                    "cluster.control.bytes-per-node-of-" + size, bytes, Targets.CONTROL_BYTES_PER_S, "bytes/s"));
            figures.add(Figure.of("cluster.control.cpu-per-node-of-" + size, cpu, Targets.CONTROL_CORE_SHARE, "cores"));
        }
        return figures;
    }

    /** Returns the load of a caller in the whole fleet, in requests/s, which follows Zipf's law. */
    private static double callerRequestsPerS(int caller) {
        return FLEET_REQUESTS_PER_S / 7.75 / (caller + 1);
    }

    /**
     * Simulates the load of the design target: arrivals, load entries, ejections and a configuration change every 9 s.
     */
    private static void runDesignLoad(ClusterSimulation simulation, int seconds) {
        for (int second = 0; second < seconds; second++) {
            for (int half = 0; half < 2; half++) {
                simulation
                        .liveNodes()
                        .forEach(node -> node.recordOfferedLoad(sampleArrivals(simulation), simulation.nowMs));
                simulation.runFor(500);
            }
            for (int i = 0; i < simulation.routers.size(); i++) {
                PeerNode node = simulation.routers.get(i).node;
                if ((i + second) % 10 == 0) {
                    node.publish(
                            EntryKind.ENDPOINT_LOAD,
                            node.self().id(),
                            new byte[120],
                            simulation.nowMs + 30_000,
                            simulation.nowMs);
                }
                if (second % 9 == 0 && node.isPlatformWatcher()) {
                    node.offerConfiguration(
                            "config/" + simulation.nowMs / 1_000,
                            simulation.nowMs / 1_000,
                            new byte[800],
                            simulation.nowMs);
                }
            }
            PeerNode randomNode = simulation.routers.get(simulation.random.nextInt(simulation.routers.size())).node;
            randomNode.publish(
                    EntryKind.EJECTION, "engine-" + second, new byte[40], simulation.nowMs + 60_000, simulation.nowMs);
        }
    }

    /** Returns the demand at one router from Poisson arrivals in half a second. */
    private static Map<String, LoadVector> sampleArrivals(ClusterSimulation simulation) {
        Map<String, LoadVector> offered = new HashMap<>();
        for (int c = 0; c < CALLER_COUNT; c++) {
            double mean = callerRequestsPerS(c) / FLEET_ROUTER_COUNT / 2;
            int arrivals = 0;
            for (double p = simulation.random.nextDouble(), limit = Math.exp(-mean); p > limit; arrivals++) {
                p *= simulation.random.nextDouble();
            }
            if (arrivals > 0) {
                offered.put("caller-" + c, new LoadVector(arrivals * 2, arrivals * 600, arrivals * 6));
            }
        }
        return offered;
    }
}
