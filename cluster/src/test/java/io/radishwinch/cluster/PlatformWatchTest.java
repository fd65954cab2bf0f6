package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Seed;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a platform that is asked by every router of a large fleet, and against routers that miss its changes
 * because the few that ask it have failed. Load pattern: a change right after the loss of all watchers.
 */
class PlatformWatchTest {

    /** The tightest time in which a change must be in effect at all routers, in ms. */
    private static final long EFFECT_BOUND_MS = 2_000;

    private static final long POLL_INTERVAL_MS = 250;

    private final TestBus bus = new TestBus(11);
    private final Set<Address> rejected = new HashSet<>();
    private byte[] value = {};
    private long version;

    private void start(int dataCentres, int perDataCentre) {
        List<Seed> seeds = TestBus.seeds(dataCentres, perDataCentre);
        seeds.forEach(seed -> {
            TestBus.Router router = bus.start(seed, seeds, 0);
            router.node.electWatchers();
        });
        write();
        seeds.forEach(seed -> offer(bus.routers.get(seed.address()).node));
        run(12_000);
    }

    private void write() {
        version++;
        value = ("value-" + version).getBytes(StandardCharsets.UTF_8);
    }

    private void offer(PeerNode node) {
        node.offerConfigurationListing(
                "config/", List.of(new ConfigurationObject("config/main", version, value)), version, bus.nowMs);
    }

    private void run(long durationMs) {
        for (long end = bus.nowMs + durationMs; bus.nowMs < end; ) {
            bus.routers.forEach((address, router) -> {
                boolean isCurrent = router.node.isElectedWatcher() && !rejected.contains(address);
                router.node.setPlatformWatchState(isCurrent, 0);
                if (isCurrent && !router.isPaused) {
                    offer(router.node);
                }
            });
            bus.runFor(Math.min(POLL_INTERVAL_MS, end - bus.nowMs));
        }
    }

    private List<Address> watchers() {
        List<Address> watchers = new ArrayList<>();
        bus.routers.forEach((address, router) -> {
            if (router.node.isElectedWatcher()) {
                watchers.add(address);
            }
        });
        return watchers;
    }

    private void assertInEffectWithinBound() {
        write();
        run(EFFECT_BOUND_MS);
        bus.routers.values().stream().filter(router -> !router.isPaused).forEach(router -> assertThat(
                        router.node.configuration().hasVersion("config/main", version))
                .as(router.node.self().id())
                .isTrue());
    }

    @Test
    void oneRouterOfEachDataCentreWatchesAndAllReceiveAChange() {
        start(5, 19);
        assertThat(watchers()).hasSize(5);
        assertInEffectWithinBound();
    }

    @Test
    void aChangeRightAfterTheDeathOfAllWatchersIsInEffectInTime() {
        start(3, 3);
        watchers().forEach(bus.routers::remove);
        assertInEffectWithinBound();
    }

    @Test
    void aChangeRightAfterThePlatformRejectsAllWatchersIsInEffectInTime() {
        start(5, 19);
        rejected.addAll(watchers());
        assertInEffectWithinBound();
    }

    /**
     * Guards against a takeover that adds the time without heartbeats to the time in which a silent watch is noticed.
     */
    @Test
    void watchersThatSayThatTheyLostThePlatformAreReplacedAtOnce() {
        start(3, 3);
        List<Address> designated = watchers();
        rejected.addAll(designated);
        run(300);
        assertThat(watchers()).hasSizeGreaterThanOrEqualTo(2 * designated.size());
        assertInEffectWithinBound();
    }

    @Test
    void frozenWatchersAreReplacedAndTheirStandInsStepDownAfterTheirReturn() {
        start(3, 8);
        List<Address> designated = watchers();
        designated.forEach(address -> bus.routers.get(address).isPaused = true);
        assertInEffectWithinBound();
        assertThat(watchers()).hasSizeGreaterThan(designated.size());
        designated.forEach(address -> bus.routers.get(address).isPaused = false);
        run(12_000);
        assertThat(watchers()).containsExactlyInAnyOrderElementsOf(designated);
        assertInEffectWithinBound();
    }

    @Test
    void aChangeReachesAllRoutersThoughATenthOfTheFramesIsLost() {
        start(5, 19);
        bus.lossProbability = 0.1;
        assertInEffectWithinBound();
    }
}
