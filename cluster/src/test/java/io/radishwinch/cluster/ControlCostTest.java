package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.allotment.CallerLimits;
import io.radishwinch.cluster.allotment.LoadVector;
import io.radishwinch.cluster.load.EndpointLoad;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.protocol.generated.EntryKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Guards against control traffic above 3 KB/s per router at the design target. With the system property
 * {@code radishwinch.measure}, the test prints the table of docs/CAPACITY.md.
 */
class ControlCostTest {

    private static final double MAX_BYTES_PER_S = 3_000;
    private static final int CALLERS = 1_300;
    private static final double FLEET_REQUESTS_PER_S = 8_200;
    private static final int FLEET_ROUTERS = 360;

    /** Mean and maximum bytes/s, frames/s and CPU time per router of a fleet. */
    private record Cost(double meanBytesPerS, double maxBytesPerS, double framesPerS, double cpuUsPerS) {}

    private final Map<String, Double> byMessage = new TreeMap<>();

    private Cost measure(int dataCentres, int perDataCentre, boolean isBusy, int seconds) {
        TestBus bus = new TestBus(dataCentres * 1_000L + perDataCentre);
        List<Seed> seeds = TestBus.seeds(dataCentres, perDataCentre);
        bus.startAll(seeds);
        Map<String, CallerLimits> limits = new HashMap<>();
        for (int c = 0; c < CALLERS; c++) {
            // The ten largest callers offer 1.5 times their limits, the others half of them.
            double fleetFraction = (double) dataCentres * perDataCentre / FLEET_ROUTERS;
            double requestsPerS = callerRequestsPerS(c) * fleetFraction * (c < 10 ? 1 / 1.5 : 2);
            limits.put(
                    "caller-" + c,
                    new CallerLimits(new LoadVector(requestsPerS, requestsPerS * 300, requestsPerS * 3), 10));
        }
        if (isBusy) {
            bus.routers.values().forEach(r -> r.node.setLimits(limits));
        }
        bus.runFor(10_000);
        for (int s = 0; isBusy && s < 10; s++) {
            simulateSecond(bus, s);
        }
        bus.routers.values().forEach(r -> {
            r.sentBytes = 0;
            r.sentFrames = 0;
            r.cpuNs = 0;
            r.bytesByMessage.clear();
        });
        for (int s = 10; s < 10 + seconds; s++) {
            if (isBusy) {
                simulateSecond(bus, s);
            } else {
                bus.runFor(1_000);
            }
        }
        byMessage.clear();
        double nodes = bus.routers.size();
        bus.routers
                .values()
                .forEach(r -> r.bytesByMessage.forEach((k, v) -> byMessage.merge(k, v / nodes / seconds, Double::sum)));
        TestBus.Router busiest = bus.routers.values().stream()
                .max(java.util.Comparator.comparingLong(r -> r.sentBytes))
                .orElseThrow();
        byMessage.put("busiest", 0.0);
        busiest.bytesByMessage.forEach((k, v) -> byMessage.put("busiest " + k, (double) v / seconds));
        return new Cost(
                bus.routers.values().stream()
                                .mapToLong(r -> r.sentBytes)
                                .average()
                                .orElse(0)
                        / seconds,
                bus.routers.values().stream().mapToLong(r -> r.sentBytes).max().orElse(0) / (double) seconds,
                bus.routers.values().stream()
                                .mapToLong(r -> r.sentFrames)
                                .average()
                                .orElse(0)
                        / seconds,
                bus.routers.values().stream().mapToLong(r -> r.cpuNs).average().orElse(0) / seconds / 1e3);
    }

    /**
     * Returns the demand of a caller over the fleet, which follows Zipf's law: few large callers and many small ones.
     */
    private static double callerRequestsPerS(int caller) {
        return FLEET_REQUESTS_PER_S / 7.75 / (caller + 1);
    }

    /** Simulates one second of a busy fleet: random arrivals, endpoint load, ejections and configuration changes. */
    private static void simulateSecond(TestBus bus, int second) {
        for (int half = 0; half < 2; half++) {
            for (TestBus.Router router : bus.routers.values()) {
                Map<String, LoadVector> offered = new HashMap<>();
                for (int c = 0; c < CALLERS; c++) {
                    double mean = callerRequestsPerS(c) / FLEET_ROUTERS / 2;
                    int arrivals = 0;
                    for (double p = bus.random.nextDouble(), l = Math.exp(-mean); p > l; arrivals++) {
                        p *= bus.random.nextDouble();
                    }
                    if (arrivals > 0) {
                        offered.put("caller-" + c, new LoadVector(arrivals * 2, arrivals * 600, arrivals * 6));
                    }
                }
                router.node.recordOfferedLoad(offered, bus.nowMs);
            }
            bus.runFor(500);
        }
        for (TestBus.Router router : bus.routers.values()) {
            // Every router publishes its running attempts on 30 endpoints, which change every second.
            Map<Integer, EndpointLoad> loads = new HashMap<>();
            for (int endpoint = 0; endpoint < 30; endpoint++) {
                loads.put(bus.random.nextInt(480), new EndpointLoad(1 + second % 7, second));
            }
            router.node.publishLoads(loads);
        }
        List<TestBus.Router> all = List.copyOf(bus.routers.values());
        PeerNode any = all.get(bus.random.nextInt(all.size())).node;
        any.publish(EntryKind.EJECTION, "engine-" + second, new byte[40], bus.nowMs + 60_000, bus.nowMs);
        if (second % 9 == 0) {
            // 9,600 configuration changes a day are one in 9 s. Every watcher receives it.
            for (TestBus.Router router : all) {
                if (router.node.isPlatformWatcher()) {
                    router.node.offerConfiguration("config/" + second, second + 1, new byte[800], bus.nowMs);
                }
            }
        }
    }

    @Test
    void aRouterSendsLessThan3KbPerSWith30RoutersInEachOf12DataCentres() {
        assertThat(measure(12, 30, false, 10).maxBytesPerS()).isLessThan(MAX_BYTES_PER_S);
        assertThat(measure(12, 30, true, 10).meanBytesPerS()).isLessThan(MAX_BYTES_PER_S);
    }

    @Test
    void theHeapOfFullTablesIsPrintedOnRequest() {
        if (!Boolean.getBoolean("radishwinch.measure")) {
            return;
        }
        PeerNode node = new PeerNode("r", "dc0", TestBus.address("dc0", 0), 1, 1);
        Runtime runtime = Runtime.getRuntime();
        System.gc();
        long beforeBytes = runtime.totalMemory() - runtime.freeMemory();
        for (int i = 0; i < 8_000; i++) {
            node.publish(EntryKind.EJECTION, "engine-" + i, new byte[40], 60_000, 1);
        }
        System.gc();
        long entriesBytes = runtime.totalMemory() - runtime.freeMemory();
        for (int i = 0; i < 1_300; i++) {
            node.offerConfiguration("config/contracts/caller-" + i, i + 1, new byte[800], 1);
        }
        System.gc();
        long configuredBytes = runtime.totalMemory() - runtime.freeMemory();
        System.out.printf(
                "heap: %d B per entry of 40 B, %d B per object of 800 B, %d entries%n",
                (entriesBytes - beforeBytes) / 8_000,
                (configuredBytes - entriesBytes) / 1_300,
                node.entries(EntryKind.EJECTION).size());
    }

    @Test
    void theTableOfTheCapacityPageIsPrintedOnRequest() {
        if (!Boolean.getBoolean("radishwinch.measure")) {
            return;
        }
        measure(1, 8, true, 20);
        System.out.println("| DCs x routers | load | mean B/s | max B/s | frames/s | CPU us/s |");
        for (boolean isBusy : new boolean[] {false, true}) {
            for (int[] size : new int[][] {{1, 2}, {1, 4}, {1, 8}, {1, 16}, {1, 32}, {3, 8}, {3, 30}, {12, 30}}) {
                Cost cost = measure(size[0], size[1], isBusy, 30);
                System.out.printf(
                        "| %d x %d | %s | %.0f | %.0f | %.1f | %.0f | %s%n",
                        size[0],
                        size[1],
                        isBusy ? "busy" : "quiet",
                        cost.meanBytesPerS(),
                        cost.maxBytesPerS(),
                        cost.framesPerS(),
                        cost.cpuUsPerS(),
                        byMessage);
            }
        }
    }
}
