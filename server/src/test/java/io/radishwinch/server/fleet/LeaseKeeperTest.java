package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.VirtualScheduler;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LeaseKeeperTest {
    private static final String GROUP = "dc";

    private final VirtualScheduler scheduler = new VirtualScheduler(0);
    private final InMemoryPlatform platform = new InMemoryPlatform(scheduler, new Random(1));
    private final Map<String, Long> live = new HashMap<>();
    private int nonces;

    private LeaseKeeper keeper(String routerId, long incarnation) {
        live.put(routerId, incarnation);
        LeaseKeeper keeper = new LeaseKeeper(
                routerId,
                incarnation,
                platform,
                "own/lease-",
                id -> Optional.ofNullable(live.get(id)),
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
}
