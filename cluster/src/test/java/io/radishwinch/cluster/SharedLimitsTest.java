package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.allotment.Allotment;
import io.radishwinch.cluster.allotment.CallerLimits;
import io.radishwinch.cluster.allotment.LoadVector;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.RendezvousHash;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against fleets that admit more or less than the limit of a caller. Uneven arrivals, failed owners, partitions
 * and lost messages can cause this.
 */
class SharedLimitsTest {

    private static final String CALLER = "clinic";
    private static final double LIMIT_TOKENS_PER_S = 10_000;
    private static final double FLOOR_TOKENS_PER_S = 1_500;
    private static final CallerLimits LIMITS =
            new CallerLimits(new LoadVector(100, LIMIT_TOKENS_PER_S, 80), FLOOR_TOKENS_PER_S);
    private static final double TOLERANCE = 0.10;
    private static final long CONVERGENCE_MS = 3_000;

    /** Offered tokens/s by router id. */
    private final Map<String, Double> offered = new HashMap<>();

    private static TestBus fleet(int dataCentres, int perDataCentre) {
        TestBus bus = new TestBus(dataCentres * 100L + perDataCentre);
        bus.startAll(TestBus.seeds(dataCentres, perDataCentre));
        bus.routers.values().forEach(r -> r.node.setLimits(Map.of(CALLER, LIMITS)));
        bus.runFor(8_000);
        return bus;
    }

    private static LoadVector amounts(double tokensPerS) {
        return new LoadVector(tokensPerS / 100, tokensPerS, tokensPerS / 125);
    }

    private void run(TestBus bus, long durationMs) {
        for (long end = bus.nowMs + durationMs; bus.nowMs < end; ) {
            bus.routers
                    .values()
                    .forEach(r -> r.node.recordOfferedLoad(
                            Map.of(
                                    CALLER,
                                    amounts(offered.getOrDefault(r.node.self().id(), 0.0))),
                            bus.nowMs));
            bus.runFor(Math.min(500, end - bus.nowMs));
        }
    }

    private double admitted(TestBus bus, ToDoubleFunction<LoadVector> dimension, String dataCentre) {
        return bus.routers.values().stream()
                .map(r -> r.node)
                .filter(node -> node.self().dataCentre().startsWith(dataCentre))
                .mapToDouble(node -> Math.min(
                        dimension.applyAsDouble(
                                amounts(offered.getOrDefault(node.self().id(), 0.0))),
                        dimension.applyAsDouble(node.share(CALLER).limits())))
                .sum();
    }

    private void assertWithinLimit(TestBus bus) {
        double demand = bus.routers.values().stream()
                .mapToDouble(r -> offered.getOrDefault(r.node.self().id(), 0.0))
                .sum();
        double wanted = Math.min(demand, LIMIT_TOKENS_PER_S);
        double slack = TOLERANCE * LIMIT_TOKENS_PER_S;
        if (Boolean.getBoolean("radishwinch.measure")) {
            System.out.printf(
                    "shares: admitted %.3f of what is allowed, %d routers%n",
                    admitted(bus, LoadVector::tokensPerS, "dc") / wanted, bus.routers.size());
        }
        assertThat(admitted(bus, LoadVector::tokensPerS, "dc")).isBetween(wanted - slack, wanted + slack);
        assertThat(admitted(bus, LoadVector::requestsPerS, "dc") * 100).isBetween(wanted - slack, wanted + slack);
        assertThat(admitted(bus, LoadVector::concurrentRequests, "dc") * 125).isBetween(wanted - slack, wanted + slack);
    }

    private void offer(TestBus bus, double... tokensPerS) {
        offered.clear();
        List<TestBus.Router> routers = List.copyOf(bus.routers.values());
        for (int i = 0; i < Math.min(tokensPerS.length, routers.size()); i++) {
            offered.put(routers.get(i).node.self().id(), tokensPerS[i]);
        }
    }

    @Test
    void eightRoutersWithUnevenArrivalsDeviateLessThanATenthFromTheLimit3SAfterEveryChange() {
        TestBus bus = fleet(1, 8);
        double[][] steps = {
            {9_000, 3_000, 500, 100, 10, 0, 0, 0},
            {0, 0, 0, 0, 0, 0, 20_000, 100},
            {200, 300, 400, 100, 100, 200, 100, 300},
            {5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000, 5_000},
            {0, 900, 0, 0, 0, 0, 0, 0},
            {0, 0, 0, 100_000, 0, 0, 0, 0},
        };
        for (double[] step : steps) {
            offer(bus, step);
            run(bus, CONVERGENCE_MS);
            assertWithinLimit(bus);
            run(bus, 10_000);
            assertWithinLimit(bus);
        }
    }

    @Test
    void sharesConvergeWithin3SWhenDemandMovesBetweenThreeDataCentres() {
        TestBus bus = fleet(3, 8);
        double[] first = new double[24];
        java.util.Arrays.fill(first, 0, 8, 3_000);
        first[9] = 700;
        offer(bus, first);
        run(bus, CONVERGENCE_MS);
        assertWithinLimit(bus);
        double[] movedDemand = new double[24];
        java.util.Arrays.fill(movedDemand, 16, 22, 4_000);
        offer(bus, movedDemand);
        run(bus, CONVERGENCE_MS);
        assertWithinLimit(bus);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.05})
    void theFleetStaysWithinTheLimitAfterTheFailureOfTheOwnerOrTheBusiestRouter(double loss) {
        TestBus bus = fleet(1, 8);
        bus.lossProbability = loss;
        offer(bus, 9_000, 8_000, 7_000, 500, 100, 100, 100, 100);
        run(bus, 10_000);
        removeOwner(bus, "dc0");
        run(bus, 5_000 + CONVERGENCE_MS);
        assertWithinLimit(bus);
        bus.routers.remove(bus.routers.keySet().iterator().next());
        run(bus, 5_000 + CONVERGENCE_MS);
        assertWithinLimit(bus);
    }

    @Test
    void aPartitionedDataCentreServesItsLastShareAndTheFloorAndExceedsTheLimitByAtMostTheFloors() {
        TestBus bus = fleet(3, 8);
        double[] load = new double[24];
        java.util.Arrays.fill(load, 0, 8, 2_000);
        load[8] = 1_000;
        offer(bus, load);
        run(bus, 10_000);
        bus.isBlocked =
                (from, to) -> from.host().startsWith("10.0.2.") != to.host().startsWith("10.0.2.");
        run(bus, 10_000);
        java.util.Arrays.fill(load, 8, 24, 20_000);
        offer(bus, load);
        run(bus, 20_000);
        // The third data centre had no demand before the partition, so it serves the floor and nothing above its share.
        double slack = TOLERANCE * LIMIT_TOKENS_PER_S;
        assertThat(admitted(bus, LoadVector::tokensPerS, "dc2"))
                .isBetween(FLOOR_TOKENS_PER_S * (1 - TOLERANCE), FLOOR_TOKENS_PER_S + slack);
        if (Boolean.getBoolean("radishwinch.measure")) {
            System.out.printf(
                    "partition: %.0f tokens/s in the cut-off data centre, %.0f in all, limit %.0f, floor %.0f%n",
                    admitted(bus, LoadVector::tokensPerS, "dc2"),
                    admitted(bus, LoadVector::tokensPerS, "dc"),
                    LIMIT_TOKENS_PER_S,
                    FLOOR_TOKENS_PER_S);
        }
        double floors = bus.routers.values().stream()
                .filter(r -> r.node.self().dataCentre().equals("dc2"))
                .mapToDouble(r -> r.node.share(CALLER).floorShare())
                .sum();
        assertThat(floors).isBetween(1 - TOLERANCE, 1.0 + 1e-6 + 0.01);
        assertThat(admitted(bus, LoadVector::tokensPerS, "dc"))
                .isBetween(LIMIT_TOKENS_PER_S - slack, LIMIT_TOKENS_PER_S + 3 * FLOOR_TOKENS_PER_S);
        bus.isBlocked = (from, to) -> false;
        run(bus, 12_000);
        assertWithinLimit(bus);
    }

    private static void removeOwner(TestBus bus, String dataCentre) {
        List<String> ids = bus.routers.values().stream()
                .map(r -> r.node.self())
                .filter(self -> self.dataCentre().equals(dataCentre))
                .map(MemberInfo::id)
                .toList();
        String owner = RendezvousHash.balancedOwners(Allotment.OWNER_KEY, Allotment.BUCKETS, ids)
                .get(Allotment.bucketOf(CALLER));
        bus.routers.values().removeIf(r -> r.node.self().id().equals(owner));
    }

    @ParameterizedTest
    @ValueSource(doubles = {100, 20_000})
    void theFailureOfAnOwnerInAPartitionDoesNotRaiseTheShareOfItsDataCentre(double before) {
        TestBus bus = fleet(3, 8);
        double[] load = new double[24];
        java.util.Arrays.fill(load, before);
        offer(bus, load);
        run(bus, 10_000);
        bus.isBlocked =
                (from, to) -> from.host().startsWith("10.0.2.") != to.host().startsWith("10.0.2.");
        run(bus, 15_000);
        removeOwner(bus, "dc2");
        java.util.Arrays.fill(load, 20_000);
        offer(bus, load);
        run(bus, 15_000);
        double equalShare = LIMIT_TOKENS_PER_S / 3;
        assertThat(admitted(bus, LoadVector::tokensPerS, "dc2"))
                .isBetween(FLOOR_TOKENS_PER_S * (1 - TOLERANCE), equalShare + TOLERANCE * LIMIT_TOKENS_PER_S);
        assertThat(admitted(bus, LoadVector::tokensPerS, "dc"))
                .isBetween(0.9 * LIMIT_TOKENS_PER_S, 1.1 * LIMIT_TOKENS_PER_S + 3 * FLOOR_TOKENS_PER_S);
    }

    @Test
    void theErrorOf360RoutersIsPrintedOnRequest() {
        if (!Boolean.getBoolean("radishwinch.measure")) {
            return;
        }
        for (double scale : new double[] {1, 10}) {
            TestBus bus = fleet(12, 30);
            CallerLimits limits = new CallerLimits(
                    new LoadVector(100 * scale, LIMIT_TOKENS_PER_S * scale, 80 * scale), FLOOR_TOKENS_PER_S);
            bus.routers.values().forEach(r -> r.node.setLimits(Map.of(CALLER, limits)));
            double[] load = new double[360];
            java.util.Arrays.fill(load, 0, 100, 300 * scale);
            java.util.Arrays.fill(load, 100, 360, 10 * scale);
            offer(bus, load);
            for (int second = 1; second <= 12; second++) {
                run(bus, 1_000);
                System.out.printf(
                        "360 routers, limit %.0f requests/s: admitted %.3f of the limit after %d s%n",
                        100 * scale, admitted(bus, LoadVector::tokensPerS, "dc") / LIMIT_TOKENS_PER_S / scale, second);
            }
        }
    }

    @Test
    void theFleetStaysWithinTheLimitDespiteDuplicatedReorderedAndLostMessages() {
        TestBus bus = fleet(2, 8);
        bus.lossProbability = 0.05;
        bus.duplicationProbability = 0.2;
        bus.maxDelayMs = 400;
        offer(bus, 9_000, 0, 0, 4_000, 0, 0, 100, 100, 2_000, 2_000);
        run(bus, 15_000);
        assertWithinLimit(bus);
    }
}
