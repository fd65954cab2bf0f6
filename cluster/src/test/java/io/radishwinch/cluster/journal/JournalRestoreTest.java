package io.radishwinch.cluster.journal;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.cluster.platform.InMemoryPlatform;
import org.junit.jupiter.api.Test;

/** Guards against second runs of a key whose intent the platform lost when it was restored from an older copy. */
class JournalRestoreTest {
    private static final long SEED = 11;

    private final Fleet fleet = Fleet.of(SEED, 2);
    private final TestRouter first = fleet.router(0);
    private final TestRouter second = fleet.router(1);

    @Test
    void aGrantThatTheRestoredPlatformHasLostIsNotGivenAgain() {
        fleet.begin(second, "warm-up", "x");
        InMemoryPlatform.Copy copy = fleet.platform.copy();
        assertThat(fleet.begin(first, "refund", "5")).isInstanceOf(Decision.Granted.class);
        fleet.platform.restore(copy);
        fleet.scheduler.advance(100);
        assertThat(fleet.begin(second, "refund", "5")).isNotInstanceOf(Decision.Granted.class);
    }

    @Test
    void aShardWhoseLogGoesBackIsReadAgain() {
        InMemoryPlatform.Copy copy = fleet.platform.copy();
        for (int i = 0; i < 5; i++) {
            fleet.begin(first, "lost-" + i, "x");
        }
        fleet.platform.restore(copy);
        assertThat(fleet.begin(second, "after-restore", "x")).isInstanceOf(Decision.Granted.class);
        assertThat(fleet.begin(first, "after-restore", "x")).isInstanceOf(Decision.InProgress.class);
    }

    @Test
    void theRecordsThatARouterKnowsAreWrittenAgain() {
        InMemoryPlatform.Copy copy = fleet.platform.copy();
        Decision grant = fleet.begin(first, "refund", "5");
        fleet.complete(first, grant, "refunded");
        Decision open = fleet.begin(first, "charge", "7");
        fleet.platform.restore(copy);
        fleet.begin(first, "after-restore", "x");
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "refund", "5"))).isEqualTo("refunded");
        assertThat(fleet.begin(second, "charge", "7")).isInstanceOf(Decision.InProgress.class);
        assertThat(fleet.complete(first, open, "charged")).isTrue();
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "charge", "7"))).isEqualTo("charged");
    }
}
