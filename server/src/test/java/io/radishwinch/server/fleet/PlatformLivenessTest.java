package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.VirtualScheduler;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a watcher that vouches for a platform which has fallen silent on its connections. */
class PlatformLivenessTest {
    private final VirtualScheduler scheduler = new VirtualScheduler(0);
    private final InMemoryPlatform platform = new InMemoryPlatform(scheduler, new Random(1));
    private final PlatformLiveness liveness = new PlatformLiveness(platform);

    private void run(long durationMs) {
        for (long end = scheduler.nowMs() + durationMs; scheduler.nowMs() < end; ) {
            liveness.tick(scheduler.nowMs());
            scheduler.advance(100);
        }
    }

    @Test
    void aPlatformThatStopsRespondingIsNoticedWithinAPingInterval() {
        run(2_000);
        assertThat(liveness.isResponding()).isTrue();
        platform.faults().setDown(true);
        run(600);
        assertThat(liveness.isResponding()).isFalse();
        platform.faults().clear();
        run(600);
        assertThat(liveness.isResponding()).isTrue();
    }
}
