package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.gossip.GossipEntry;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.protocol.generated.EntryKind;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against entries that do not reach all routers, return after their deletion, outlive their deadline or exceed
 * the limits of their kind. Lost and reordered messages, partitions and different clocks can cause these failures.
 */
class GossipTest {

    private static final byte[] VALUE = {1, 2, 3};

    private static TestBus fleet(long seed, int dataCentres, int perDataCentre) {
        TestBus bus = new TestBus(seed);
        bus.startAll(TestBus.seeds(dataCentres, perDataCentre));
        bus.runFor(8_000);
        return bus;
    }

    private static long countRoutersWithEntry(TestBus bus, EntryKind kind, String key) {
        return bus.routers.values().stream()
                .filter(r -> r.node.entry(kind, key).isPresent())
                .count();
    }

    @Test
    void aLeavingMarkerReachesAll30RoutersOfTheDataCentreWithin3SAndNoOtherDataCentre() {
        for (int seed = 0; seed < 5; seed++) {
            TestBus bus = fleet(seed, 2, 30);
            bus.node("dc0", 3).publish(EntryKind.LEAVING, "engine-1", VALUE, bus.nowMs + 60_000, bus.nowMs);
            bus.runFor(3_000);
            assertThat(countRoutersWithEntry(bus, EntryKind.LEAVING, "engine-1"))
                    .isEqualTo(30);
            assertThat(bus.node("dc1", 0).entry(EntryKind.LEAVING, "engine-1")).isEmpty();
        }
    }

    @Test
    void anEjectionReachesAllDataCentresOfASmallDeploymentWithinASecond() {
        for (int seed = 0; seed < 5; seed++) {
            TestBus bus = fleet(seed, 3, 3);
            bus.routers.values().forEach(router -> router.node.setSharesEndpointState(true, 1_000));
            bus.node("dc1", 2).publish(EntryKind.EJECTION, "engine-1", VALUE, bus.nowMs + 10_000, bus.nowMs);
            bus.runFor(1_000);
            assertThat(countRoutersWithEntry(bus, EntryKind.EJECTION, "engine-1"))
                    .isEqualTo(9);
        }
    }

    @Test
    void endpointLoadReachesAllDataCentresOfASmallDeployment() {
        TestBus bus = fleet(3, 3, 3);
        bus.routers.values().forEach(router -> router.node.setSharesEndpointState(true, 1_000));
        bus.node("dc1", 2).publish(EntryKind.ENDPOINT_LOAD, "dc1-r2", VALUE, bus.nowMs + 5_000, bus.nowMs);
        bus.runFor(2_000);
        assertThat(countRoutersWithEntry(bus, EntryKind.ENDPOINT_LOAD, "dc1-r2"))
                .isEqualTo(9);
    }

    /** A large configuration object must not use up the byte budget of volatile entries. */
    @Test
    void aLargeConfigurationDoesNotDelayEndpointLoad() {
        TestBus bus = fleet(3, 1, 4);
        bus.node("dc0", 1).offerConfiguration("config/main", 7, new byte[300_000], bus.nowMs);
        bus.runFor(3_000);
        bus.node("dc0", 2).publish(EntryKind.ENDPOINT_LOAD, "dc0-r2", VALUE, bus.nowMs + 5_000, bus.nowMs);
        bus.runFor(1_000);
        assertThat(countRoutersWithEntry(bus, EntryKind.ENDPOINT_LOAD, "dc0-r2"))
                .isEqualTo(4);
    }

    @Test
    void quarantineSpreadsBetweenDataCentresAndConvergesAfterAPartition() {
        TestBus bus = fleet(1, 3, 4);
        bus.node("dc0", 1).publish(EntryKind.QUARANTINE, "f1", VALUE, bus.nowMs + 600_000, bus.nowMs);
        bus.runFor(3_000);
        assertThat(countRoutersWithEntry(bus, EntryKind.QUARANTINE, "f1")).isEqualTo(12);
        bus.isBlocked =
                (from, to) -> from.host().startsWith("10.0.2.") != to.host().startsWith("10.0.2.");
        bus.runFor(120_000);
        bus.node("dc2", 1).publish(EntryKind.QUARANTINE, "f2", VALUE, bus.nowMs + 600_000, bus.nowMs);
        bus.node("dc1", 1).publish(EntryKind.QUARANTINE, "f3", VALUE, bus.nowMs + 600_000, bus.nowMs);
        bus.runFor(5_000);
        assertThat(countRoutersWithEntry(bus, EntryKind.QUARANTINE, "f2")).isEqualTo(4);
        bus.isBlocked = (from, to) -> false;
        bus.runFor(10_000);
        assertThat(countRoutersWithEntry(bus, EntryKind.QUARANTINE, "f2")).isEqualTo(12);
        assertThat(countRoutersWithEntry(bus, EntryKind.QUARANTINE, "f3")).isEqualTo(12);
    }

    /** Guards against a restarted router that uses what the others learned to avoid. */
    @Test
    void aRestartedRouterReceivesTheCrashesThatWerePublishedBefore() {
        for (int seed = 0; seed < 20; seed++) {
            TestBus bus = fleet(seed, 3, 3);
            List<Seed> all = TestBus.seeds(3, 3);
            for (int i = 0; i < 12; i++) {
                bus.node("dc" + i % 3, i % 2)
                        .publish(EntryKind.PROMPT_CRASH, "f" + i, VALUE, bus.nowMs + 600_000, bus.nowMs);
                bus.runFor(200);
            }
            bus.routers.remove(TestBus.address("dc1", 0));
            bus.routers.remove(TestBus.address("dc1", 1));
            bus.runFor(1_500);
            bus.start(TestBus.seed("dc1", 0), all, 0);
            bus.start(TestBus.seed("dc1", 1), all, 0);
            bus.runFor(1_500);
            for (int i = 0; i < 12; i++) {
                assertThat(countRoutersWithEntry(bus, EntryKind.PROMPT_CRASH, "f" + i))
                        .as("seed %d, entry f%d", seed, i)
                        .isEqualTo(9);
            }
        }
    }

    @Test
    void bothSidesOfAPartitionInsideADataCentreRejoin() {
        TestBus bus = fleet(2, 1, 8);
        bus.isBlocked = (from, to) ->
                (from.host().compareTo("10.0.0.4") < 0) != (to.host().compareTo("10.0.0.4") < 0);
        bus.runFor(180_000);
        bus.routers.values().forEach(r -> assertThat(r.node.members()).hasSize(3));
        bus.isBlocked = (from, to) -> false;
        bus.runFor(5_000);
        bus.routers.values().forEach(r -> assertThat(r.node.members()).hasSize(7));
    }

    @Test
    void routersConvergeAndDeletionsPersistDespiteLostDuplicatedAndReorderedMessages() {
        for (int seed = 0; seed < 5; seed++) {
            TestBus bus = fleet(seed, 1, 8);
            bus.lossProbability = 0.2;
            bus.duplicationProbability = 0.3;
            bus.maxDelayMs = 2_000;
            for (int i = 0; i < 40; i++) {
                PeerNode node = bus.node("dc0", bus.random.nextInt(8));
                String key = "e" + i % 4;
                if (bus.random.nextInt(3) == 0) {
                    node.withdraw(EntryKind.EJECTION, key, bus.nowMs);
                } else {
                    node.publish(EntryKind.EJECTION, key, new byte[] {(byte) i}, bus.nowMs + 300_000, bus.nowMs);
                }
                bus.runFor(500);
            }
            bus.runFor(30_000);
            for (int k = 0; k < 4; k++) {
                GossipEntry first =
                        bus.node("dc0", 0).entry(EntryKind.EJECTION, "e" + k).orElse(null);
                for (TestBus.Router router : bus.routers.values()) {
                    GossipEntry other =
                            router.node.entry(EntryKind.EJECTION, "e" + k).orElse(null);
                    assertThat(other == null ? null : other.value()).isEqualTo(first == null ? null : first.value());
                }
            }
        }
    }

    @Test
    void entriesExpireEverywhereByRemainingTimeAlthoughClocksDifferBy5S() {
        TestBus bus = new TestBus(4);
        for (int i = 0; i < 8; i++) {
            bus.start(TestBus.seed("dc0", i), TestBus.seeds(1, 8), i % 2 == 0 ? 5_000 : 0);
        }
        bus.runFor(8_000);
        List<String> expired = new ArrayList<>();
        bus.routers
                .values()
                .forEach(r -> r.node.addListener(new PeerListener() {
                    @Override
                    public void entryChanged(GossipEntry entry) {
                        if (entry.isTombstone()) {
                            expired.add(r.node.self().id());
                        }
                    }
                }));
        bus.node("dc0", 1).publish(EntryKind.EJECTION, "e", VALUE, bus.nowMs + 20_000, bus.nowMs);
        bus.runFor(18_000);
        assertThat(countRoutersWithEntry(bus, EntryKind.EJECTION, "e")).isEqualTo(8);
        bus.runFor(4_000);
        assertThat(countRoutersWithEntry(bus, EntryKind.EJECTION, "e")).isZero();
        assertThat(expired).hasSize(8).doesNotHaveDuplicates();
    }

    @Test
    void entriesAboveTheBoundsOfTheirKindAreRejected() {
        PeerNode node = new PeerNode("r", "dc0", TestBus.address("dc0", 0), 1, 1);
        assertThat(node.publish(EntryKind.EJECTION, "e", new byte[513], 1_000, 0))
                .isFalse();
        assertThat(node.publish(EntryKind.EJECTION, "e", VALUE, GossipEntry.NEVER, 0))
                .isFalse();
        int accepted = 0;
        for (int i = 0; i < 9_000; i++) {
            accepted += node.publish(EntryKind.EJECTION, "e" + i, VALUE, 100_000, 0) ? 1 : 0;
        }
        assertThat(accepted).isEqualTo(8_192);
    }
}
