package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.load.EndpointLoad;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.cluster.membership.Seed;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against routers of a large fleet that are blind to each other's work. Load pattern: 95 routers in five data
 * centres use the same 216 endpoints, and the loads of all must be known everywhere within seconds.
 */
class LoadExchangeTest {

    private static final int ENDPOINTS = 216;
    private static final int LOAD_BYTES_PER_S = 8_000;

    /** Time in which a load must be known at all routers, in ms; each hop takes at most one interval. */
    private static final long KNOWN_BOUND_MS = 2_500;

    private final TestBus bus = new TestBus(5);
    private final Map<Address, Map<Integer, EndpointLoad>> known = new HashMap<>();
    private List<Seed> seeds;

    private void start(int dataCentres, int perDataCentre) {
        seeds = TestBus.seeds(dataCentres, perDataCentre);
        for (Seed seed : seeds) {
            TestBus.Router router = bus.start(seed, seeds, 0);
            router.node.setSharesEndpointState(true, LOAD_BYTES_PER_S);
            router.node.addListener(new PeerListener() {
                @Override
                public void endpointLoadsChanged(Map<Integer, EndpointLoad> loads) {
                    known.put(seed.address(), loads);
                }
            });
        }
        bus.runFor(8_000);
    }

    /** Every router puts one attempt, and as many more as its index, on each endpoint. */
    private void publish() {
        for (int i = 0; i < seeds.size(); i++) {
            TestBus.Router router = bus.routers.get(seeds.get(i).address());
            if (router != null) {
                Map<Integer, EndpointLoad> loads = new HashMap<>();
                for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                    loads.put(endpoint, new EndpointLoad(1 + i, 0));
                }
                router.node.publishLoads(loads);
            }
        }
    }

    private void assertAllKnown() {
        int total = 0;
        for (int i = 0; i < seeds.size(); i++) {
            total += bus.routers.containsKey(seeds.get(i).address()) ? 1 + i : 0;
        }
        for (int i = 0; i < seeds.size(); i++) {
            if (bus.routers.containsKey(seeds.get(i).address())) {
                int others = total - 1 - i;
                Map<Integer, EndpointLoad> loads = known.get(seeds.get(i).address());
                assertThat(loads).as(seeds.get(i).id()).hasSize(ENDPOINTS);
                assertThat(loads.get(ENDPOINTS / 2).running())
                        .as(seeds.get(i).id())
                        .isEqualTo(others);
            }
        }
    }

    @Test
    void everyRouterOfNinetyFiveKnowsTheLoadOfAllOthers() {
        start(5, 19);
        publish();
        bus.runFor(KNOWN_BOUND_MS);
        assertAllKnown();
    }

    @Test
    void theLoadsStayKnownWhenOneCollectorOfEachDataCentreFails() {
        start(3, 6);
        for (int dataCentre = 0; dataCentre < 3; dataCentre++) {
            String name = "dc" + dataCentre;
            List<String> ids = seeds.stream()
                    .filter(seed -> seed.dataCentre().equals(name))
                    .map(Seed::id)
                    .toList();
            String collector = RendezvousHash.top("load-collector", ids, 1).get(0);
            seeds.stream()
                    .filter(seed -> seed.id().equals(collector))
                    .forEach(seed -> bus.routers.remove(seed.address()));
        }
        publish();
        bus.runFor(KNOWN_BOUND_MS);
        assertAllKnown();
    }

    @Test
    void theLoadOfAFailedRouterIsForgotten() {
        start(3, 6);
        publish();
        bus.runFor(KNOWN_BOUND_MS);
        bus.routers.remove(seeds.get(4).address());
        bus.runFor(6_000);
        publish();
        bus.runFor(KNOWN_BOUND_MS);
        assertAllKnown();
    }

    private double meanBytesPerS(int dataCentres, int perDataCentre) {
        LoadExchangeTest fleet = new LoadExchangeTest();
        fleet.start(dataCentres, perDataCentre);
        fleet.publish();
        fleet.bus.runFor(2_000);
        fleet.bus.routers.values().forEach(router -> router.bytesByMessage.clear());
        fleet.bus.runFor(5_000);
        return fleet.bus.routers.values().stream()
                .mapToLong(router -> router.bytesByMessage.getOrDefault("ENDPOINT_LOADS", 0L))
                .average()
                .orElseThrow();
    }

    @Test
    void theBytesOfARouterDoNotGrowWithTheNumberOfRouters() {
        assertThat(meanBytesPerS(5, 12)).isLessThanOrEqualTo(meanBytesPerS(5, 6));
    }
}
