package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.VirtualScheduler;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LeaseKeeperTest {
    private static final String GROUP = "dc";

    private final VirtualScheduler scheduler = new VirtualScheduler(0);
    private final InMemoryPlatform platform = new InMemoryPlatform(scheduler, new Random(1));
    private final Map<String, Long> live = new HashMap<>();
    private final Set<String> populated = new HashSet<>(Set.of(GROUP));
    private int nonces;

    /** Presence by the maps of this test. */
    private final class Routers implements LeaseKeeper.Presence {
        @Override
        public Optional<Long> incarnation(String routerId) {
            return Optional.ofNullable(live.get(routerId));
        }

        @Override
        public boolean hasRouters(String dataCentre) {
            return populated.contains(dataCentre);
        }
    }

    private LeaseKeeper keeper(String routerId, long incarnation) {
        return keeper(routerId, incarnation, GROUP);
    }

    private LeaseKeeper keeper(String routerId, long incarnation, String dataCentre) {
        live.put(routerId, incarnation);
        LeaseKeeper keeper = new LeaseKeeper(
                routerId,
                incarnation,
                dataCentre,
                platform,
                "own/lease-",
                new Routers(),
                () -> "nonce-" + ++nonces,
                new FleetLog(() -> 0));
        keeper.holds(GROUP, 0);
        return keeper;
    }

    private void tick(LeaseKeeper keeper, long nowMs) {
        keeper.tick(nowMs);
        scheduler.advance(100);
    }

    @Test
    void oneOfTwoRoutersTakesAFreeLease() {
        LeaseKeeper first = keeper("a", 1);
        LeaseKeeper second = keeper("b", 1);
        tick(first, 0);
        tick(second, 0);
        tick(second, 1_000);
        assertThat(first.holds(GROUP, 1_000)).isTrue();
        assertThat(second.holds(GROUP, 1_000)).isFalse();
    }

    @Test
    void theLeaseOfALiveHolderIsNotTakenOver() {
        LeaseKeeper first = keeper("a", 1);
        LeaseKeeper second = keeper("b", 1);
        tick(first, 0);
        for (long nowMs = 0; nowMs < 60_000; nowMs += 500) {
            tick(first, nowMs);
            tick(second, nowMs);
        }
        assertThat(second.holds(GROUP, 60_000)).isFalse();
    }

    @Test
    void theLeaseOfADeadHolderIsTakenOver() {
        LeaseKeeper first = keeper("a", 1);
        LeaseKeeper second = keeper("b", 1);
        tick(first, 0);
        tick(second, 500);
        live.remove("a");
        for (long nowMs = 1_000; nowMs < 8_000; nowMs += 500) {
            tick(second, nowMs);
        }
        assertThat(second.holds(GROUP, 8_000)).isTrue();
    }

    @Test
    void aHolderThatHasStartedAgainIsReplacedAtOnce() {
        LeaseKeeper first = keeper("a", 1);
        LeaseKeeper second = keeper("b", 1);
        tick(first, 0);
        tick(second, 0);
        live.put("a", 2L);
        tick(second, 500);
        assertThat(second.holds(GROUP, 500)).isTrue();
    }

    @Test
    void aHolderThatWasPausedReadsItsLeaseAgainBeforeItActs() {
        LeaseKeeper paused = keeper("a", 1);
        LeaseKeeper other = keeper("b", 1);
        tick(paused, 0);
        tick(other, 0);
        live.remove("a");
        for (long nowMs = 500; nowMs < 9_000; nowMs += 500) {
            tick(other, nowMs);
        }
        assertThat(other.holds(GROUP, 9_000)).isTrue();
        paused.tick(9_000);
        assertThat(paused.holds(GROUP, 9_000)).isFalse();
        scheduler.advance(100);
        assertThat(paused.holds(GROUP, 9_100)).isFalse();
    }

    @Test
    void enginesAreOrderedFromTheirOwnDataCentreWhileItHasRouters() {
        LeaseKeeper elsewhere = keeper("z", 1, "other");
        tick(elsewhere, 0);
        tick(elsewhere, 1_000);
        assertThat(elsewhere.holds(GROUP, 1_000)).isFalse();
        populated.clear();
        for (long nowMs = 2_000; nowMs < 12_000; nowMs += 500) {
            tick(elsewhere, nowMs);
        }
        assertThat(elsewhere.holds(GROUP, 12_000)).isTrue();
    }
}
