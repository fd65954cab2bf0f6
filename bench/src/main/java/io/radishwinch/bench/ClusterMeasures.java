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

/** Delays, errors and costs of the state that routers share. */
final class ClusterMeasures {
    private static final int SEEDS = 5;
    private static final double LOSS = 0.02;
    private static final long LIMIT_MS = 60_000;
    private static final int CALLERS = 1_300;
    private static final double FLEET_REQUESTS_PER_S = 8_200;
    private static final int FLEET_ROUTERS = 360;

    private ClusterMeasures() {}

    /** Worst time from an accepted write to its effect at all of 24 routers, with calls of 1 to 4 s. */
    static List<Figure> configuration() {
        double slowest = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            slowest = Math.max(slowest, configurationMs(seed));
        }
        return List.of(
                Figure.of("cluster.configuration.slow-platform-24-routers", slowest, Targets.CONFIGURATION_MS, "ms"));
    }

    private static double configurationMs(long seed) {
        ClusterBus bus = new ClusterBus(3, 8, seed);
        bus.loss = LOSS;
        VirtualScheduler scheduler = new VirtualScheduler(bus.nowMs);
        InMemoryPlatform platform = new InMemoryPlatform(scheduler, bus.random);
        platform.faults().setLatencyMs(1_000, 4_000);
        bus.clock = scheduler::runUntil;
        for (PeerNode node : bus.nodes()) {
            if (node.isPlatformWatcher()) {
                new WatchFollower(
                                platform,
                                scheduler,
                                bus.random,
                                "config/",
                                change -> node.offerConfiguration(
                                        change.key(),
                                        change.version(),
                                        change.value().orElse(null),
                                        scheduler.nowMs()))
                        .start();
            }
        }
        bus.runFor(20_000);
        List<Long> accepted = new ArrayList<>();
        platform.put("config/contracts/app", 0, new byte[800], "n").subscribe().with(result -> accepted.add(bus.nowMs));
        bus.runUntilHolds(LIMIT_MS, () -> !accepted.isEmpty());
        return bus.runUntilHolds(LIMIT_MS, () -> bus.nodes().stream()
                .allMatch(node ->
                        node.configuration().object("config/contracts/app").isPresent()));
    }

    /** Worst time until no router counts a failed one as a member, with 2% of the frames lost. */
    static List<Figure> detection() {
        List<Figure> figures = new ArrayList<>();
        for (int size : new int[] {8, 30}) {
            double slowest = 0;
            for (int seed = 1; seed <= SEEDS; seed++) {
                ClusterBus bus = new ClusterBus(1, size, seed);
                bus.loss = LOSS;
                ClusterBus.Router failed = bus.routers.get(seed);
                String id = failed.node.self().id();
                failed.alive = false;
                slowest = Math.max(slowest, bus.runUntilHolds(LIMIT_MS, () -> bus.nodes().stream()
                        .noneMatch(node -> node.members().stream()
                                .anyMatch(member -> member.id().equals(id)))));
            }
            figures.add(Figure.of("cluster.detection.failed-router-of-" + size, slowest, Targets.DETECTION_MS, "ms"));
        }
        return figures;
    }

    /** Worst time until a leaving marker of one router is known to the other 29, with 2% of the frames lost. */
    static List<Figure> leaving() {
        double slowest = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            ClusterBus bus = new ClusterBus(1, 30, seed);
            bus.loss = LOSS;
            bus.routers.get(0).node.publish(EntryKind.LEAVING, "e1", new byte[] {1}, bus.nowMs + LIMIT_MS, bus.nowMs);
            slowest = Math.max(slowest, bus.runUntilHolds(LIMIT_MS, () -> bus.nodes().stream()
                    .allMatch(node -> node.entry(EntryKind.LEAVING, "e1").isPresent())));
        }
        return List.of(Figure.of("cluster.leaving.marker-at-30-routers", slowest, Targets.LEAVING_MS, "ms"));
    }

    // Limits

    private static final double LIMIT_TOKENS_PER_S = 10_000;
    private static final String CALLER = "clinic";

    /** Offered tokens/s at 8 routers, one row after the other. */
    private static final double[][] OFFERED = {
        {9_000, 3_000, 500, 100, 10, 0, 0, 0},
        {0, 0, 0, 0, 0, 0, 20_000, 100},
        {200, 300, 400, 100, 100, 200, 100, 300},
        {5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000},
        {0, 0, 0, 100_000, 0, 0, 0, 0},
    };

    /** Error 3 s after each change of the arrivals and 10 s later, and the time until it stays within the target. */
    static List<Figure> limits() {
        ClusterBus bus = new ClusterBus(1, 8, 1);
        CallerLimits limits = new CallerLimits(new LoadVector(100, LIMIT_TOKENS_PER_S, 80), 1_500);
        bus.nodes().forEach(node -> node.setLimits(Map.of(CALLER, limits)));
        double worstError = 0;
        double evenError = 0;
        double slowestMs = 0;
        for (double[] offered : OFFERED) {
            double lastOutsideMs = 0;
            for (long ms = 0; ms < 13_000; ms += 100) {
                if (ms % 500 == 0) {
                    observe(bus, offered);
                }
                bus.runFor(100);
                double error = error(bus, offered);
                lastOutsideMs = error > Targets.LIMIT_ERROR.bound() ? ms + 100 : lastOutsideMs;
                worstError = ms >= Targets.CONVERGENCE_MS.bound() ? Math.max(worstError, error) : worstError;
            }
            slowestMs = Math.max(slowestMs, lastOutsideMs);
            evenError = Math.max(evenError, evenError(offered));
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

    private static void observe(ClusterBus bus, double[] offered) {
        for (int i = 0; i < offered.length; i++) {
            LoadVector amounts = new LoadVector(offered[i] / 100, offered[i], offered[i] / 125);
            bus.routers.get(i).node.recordOfferedLoad(Map.of(CALLER, amounts), bus.nowMs);
        }
    }

    private static double error(ClusterBus bus, double[] offered) {
        double admitted = 0;
        double demand = 0;
        for (int i = 0; i < offered.length; i++) {
            double share = bus.routers.get(i).node.share(CALLER).limits().tokensPerS();
            admitted += Math.min(offered[i], share);
            demand += offered[i];
        }
        return Math.abs(admitted - Math.min(demand, LIMIT_TOKENS_PER_S)) / LIMIT_TOKENS_PER_S;
    }

    private static double evenError(double[] offered) {
        double admitted = 0;
        double demand = 0;
        for (double tokensPerS : offered) {
            admitted += Math.min(tokensPerS, LIMIT_TOKENS_PER_S / offered.length);
            demand += tokensPerS;
        }
        return Math.abs(admitted - Math.min(demand, LIMIT_TOKENS_PER_S)) / LIMIT_TOKENS_PER_S;
    }

    // Cost

    /** Mean bytes/s and CPU time of the busiest node, with the callers of the design target. */
    static List<Figure> controlBytes() {
        List<Figure> figures = new ArrayList<>();
        for (int size : new int[] {8, 30}) {
            ClusterBus bus = new ClusterBus(1, size, size);
            Map<String, CallerLimits> limits = new HashMap<>();
            for (int c = 0; c < CALLERS; c++) {
                double requestsPerS = 2 * callerRequestsPerS(c);
                limits.put("caller-" + c, new CallerLimits(new LoadVector(requestsPerS, requestsPerS * 300, 50), 10));
            }
            bus.nodes().forEach(node -> node.setLimits(limits));
            work(bus, 10);
            bus.routers.forEach(router -> {
                router.sentBytes = 0;
                router.cpuNs = 0;
            });
            int seconds = 20;
            work(bus, seconds);
            double bytes =
                    bus.routers.stream().mapToLong(r -> r.sentBytes).max().orElse(0) / (double) seconds;
            double cpu = bus.routers.stream().mapToLong(r -> r.cpuNs).max().orElse(0) / 1e9 / seconds;
            figures.add(Figure.of(
                    "cluster.control.bytes-per-node-of-" + size, bytes, Targets.CONTROL_BYTES_PER_S, "bytes/s"));
            figures.add(Figure.of("cluster.control.cpu-per-node-of-" + size, cpu, Targets.CONTROL_CORE_SHARE, "cores"));
        }
        return figures;
    }

    /** Demand of a caller over the fleet: a few large callers and many small ones, by Zipf's law. */
    private static double callerRequestsPerS(int caller) {
        return FLEET_REQUESTS_PER_S / 7.75 / (caller + 1);
    }

    /** Random arrivals, load entries, ejections and a configuration change every 9 s, as at the design target. */
    private static void work(ClusterBus bus, int seconds) {
        for (int second = 0; second < seconds; second++) {
            for (int half = 0; half < 2; half++) {
                bus.nodes().forEach(node -> node.recordOfferedLoad(arrivals(bus), bus.nowMs));
                bus.runFor(500);
            }
            for (int i = 0; i < bus.routers.size(); i++) {
                PeerNode node = bus.routers.get(i).node;
                if ((i + second) % 10 == 0) {
                    node.publish(
                            EntryKind.ENDPOINT_LOAD, node.self().id(), new byte[120], bus.nowMs + 30_000, bus.nowMs);
                }
                if (second % 9 == 0 && node.isPlatformWatcher()) {
                    node.offerConfiguration("config/" + bus.nowMs / 1_000, bus.nowMs / 1_000, new byte[800], bus.nowMs);
                }
            }
            PeerNode any = bus.routers.get(bus.random.nextInt(bus.routers.size())).node;
            any.publish(EntryKind.EJECTION, "engine-" + second, new byte[40], bus.nowMs + 60_000, bus.nowMs);
        }
    }

    /** Poisson arrivals of half a second at one router. */
    private static Map<String, LoadVector> arrivals(ClusterBus bus) {
        Map<String, LoadVector> offered = new HashMap<>();
        for (int c = 0; c < CALLERS; c++) {
            double mean = callerRequestsPerS(c) / FLEET_ROUTERS / 2;
            int arrivals = 0;
            for (double p = bus.random.nextDouble(), limit = Math.exp(-mean); p > limit; arrivals++) {
                p *= bus.random.nextDouble();
            }
            if (arrivals > 0) {
                offered.put("caller-" + c, new LoadVector(arrivals * 2, arrivals * 600, arrivals * 6));
            }
        }
        return offered;
    }
}
