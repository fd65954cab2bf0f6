package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.protocol.generated.MemberState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against members that are removed late or wrongly, or that do not rejoin. Message loss, pauses, restarts and
 * replaced VMs can cause these failures.
 */
class MembershipTest {

    private static final long REMOVAL_BOUND_MS = 5_000;

    private static TestBus fleet(long seed, int size) {
        TestBus bus = new TestBus(seed);
        bus.startAll(TestBus.seeds(1, size));
        bus.runFor(6_000);
        bus.routers.values().forEach(r -> assertThat(r.node.members()).hasSize(size - 1));
        return bus;
    }

    private static boolean isMemberAnywhere(TestBus bus, String id) {
        return bus.routers.values().stream()
                .anyMatch(r -> r.node.members().stream().anyMatch(m -> m.id().equals(id)));
    }

    @ParameterizedTest
    @CsvSource({"8,0", "8,0.02", "30,0", "30,0.02"})
    void aFailedRouterIsRemovedEverywhereWithin5SAndNoOtherRouterIsRemoved(int size, double loss) {
        long slowestMs = 0;
        for (int seed = 0; seed < 20; seed++) {
            TestBus bus = fleet(seed, size);
            List<MemberInfo> dead = new ArrayList<>();
            bus.lossProbability = loss;
            Seed failed = TestBus.seed("dc0", seed % size);
            bus.routers.remove(failed.address());
            bus.routers
                    .values()
                    .forEach(r -> r.node.addListener(new PeerListener() {
                        @Override
                        public void memberChanged(MemberInfo member) {
                            if (member.state() == MemberState.DEAD) {
                                dead.add(member);
                            }
                        }
                    }));
            long failedMs = bus.nowMs;
            while (isMemberAnywhere(bus, failed.id()) && bus.nowMs < failedMs + REMOVAL_BOUND_MS) {
                bus.runFor(50);
            }
            slowestMs = Math.max(slowestMs, bus.nowMs - failedMs);
            assertThat(isMemberAnywhere(bus, failed.id())).as("seed %d", seed).isFalse();
            assertThat(dead).allMatch(m -> m.id().equals(failed.id()));
        }
        if (Boolean.getBoolean("radishwinch.measure")) {
            System.out.printf("removal at %d routers, loss %.2f: at most %d ms%n", size, loss, slowestMs);
        }
    }

    @Test
    void aRackOfFiveRoutersThatFailTogetherIsRemovedWithin5S() {
        TestBus bus = fleet(3, 30);
        for (int i = 0; i < 5; i++) {
            bus.routers.remove(TestBus.address("dc0", i));
        }
        bus.runFor(REMOVAL_BOUND_MS);
        bus.routers.values().forEach(r -> assertThat(r.node.members()).hasSize(24));
    }

    @Test
    void aResumedRouterRefutesItsSuspicionAndSuspectsNoOtherMember() {
        TestBus bus = fleet(4, 8);
        TestBus.Router pausedRouter = bus.routers.get(TestBus.address("dc0", 2));
        long incarnation = pausedRouter.node.self().incarnation();
        pausedRouter.isPaused = true;
        bus.runFor(10_000);
        assertThat(bus.node("dc0", 1).members()).hasSize(6);
        pausedRouter.isPaused = false;
        bus.runFor(4_000);
        assertThat(pausedRouter.node.self().incarnation()).isGreaterThan(incarnation);
        bus.routers
                .values()
                .forEach(r -> assertThat(r.node.members()).hasSize(7).allMatch(m -> m.state() == MemberState.ALIVE));
    }

    @Test
    void aRestartAtTheSameAddressGetsAHigherIncarnationEvenWithAClock5SBehind() {
        TestBus bus = fleet(5, 8);
        Seed seed = TestBus.seed("dc0", 3);
        long before = bus.node("dc0", 3).self().incarnation();
        bus.runFor(300);
        bus.start(seed, TestBus.seeds(1, 8), -5_000 - bus.nowMs);
        bus.runFor(2_000);
        assertThat(bus.node("dc0", 3).self().incarnation()).isGreaterThan(before);
        assertThat(bus.node("dc0", 0).members()).hasSize(7);
    }

    @Test
    void aLeavingRouterIsRemovedEverywhereWithin10Ms() {
        TestBus bus = fleet(6, 30);
        bus.send(
                TestBus.address("dc0", 4),
                bus.routers.remove(TestBus.address("dc0", 4)).node.leave(bus.nowMs));
        bus.runFor(10);
        assertThat(isMemberAnywhere(bus, "dc0-r4")).isFalse();
    }

    @Test
    void theLaggingVmListNeitherAddsAnUnresponsiveVmNorRemovesAMissingMember() {
        TestBus bus = new TestBus(7);
        List<Seed> lagging = new ArrayList<>(TestBus.seeds(1, 4));
        lagging.add(TestBus.seed("dc0", 99));
        TestBus.seeds(1, 5).forEach(seed -> bus.start(seed, lagging, 0));
        bus.runFor(20_000);
        for (TestBus.Router router : bus.routers.values()) {
            assertThat(router.node.members()).hasSize(4).noneMatch(m -> m.id().equals("dc0-r99"));
        }
    }

    @Test
    void aVmWithANewIdAtTheSameAddressReplacesTheOldMember() {
        TestBus bus = fleet(8, 8);
        Seed replacement = new Seed("dc0-new", "dc0", TestBus.address("dc0", 5));
        bus.start(replacement, TestBus.seeds(1, 8), 0);
        bus.runFor(2_000);
        assertThat(isMemberAnywhere(bus, "dc0-r5")).isFalse();
        assertThat(bus.node("dc0", 0).members()).hasSize(7).anyMatch(m -> m.id().equals("dc0-new"));
    }
}
