package io.radishwinch.cluster.journal;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.cluster.platform.InMemoryPlatform;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
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
        // The first router hears of the restore from its configuration, and writes its intent again.
        first.journal.observeEra(1);
        fleet.scheduler.advance(ShardedJournal.RESTORE_SETTLING_MS);
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.InProgress.class);
        assertThat(fleet.begin(second, "another refund", "5")).isInstanceOf(Decision.Granted.class);
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

    /**
     * Guards against a router that writes an intent again and again which the log ignores, and that blocks its shard.
     */
    @Test
    void aGrantThatWasReleasedAfterTheRestoreIsNotWrittenAgain() {
        InMemoryPlatform.Copy copy = fleet.platform.copy();
        Decision grant = fleet.begin(first, "refund", "5");
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.InProgress.class);
        fleet.platform.restore(copy);
        first.journal.abandon((Decision.Granted) grant).subscribe().with(released -> {});
        fleet.scheduler.advance(5_000);
        second.journal.observeEra(1);
        fleet.scheduler.advance(ShardedJournal.RESTORE_SETTLING_MS);
        long commitsBefore = second.count("commit");
        fleet.scheduler.advance(10_000);
        assertThat(second.count("commit")).isEqualTo(commitsBefore);
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.Granted.class);
    }

    /** Guards against a batch above the size that the platform stores, which would block its shard for good. */
    @Test
    void largeOutcomesAreWrittenAgainInSeveralBatches() {
        InMemoryPlatform.Copy copy = fleet.platform.copy();
        String outcome = "x".repeat(JournalSettings.MAX_OUTCOME_BYTES);
        for (int i = 0; i < 40; i++) {
            fleet.complete(first, fleet.begin(first, "refund-" + i, "5"), outcome);
        }
        fleet.platform.restore(copy);
        first.journal.observeEra(1);
        fleet.scheduler.advance(60_000);
        for (int i = 0; i < 40; i++) {
            assertThat(Fleet.replayedOutcome(fleet.begin(second, "refund-" + i, "5")))
                    .isEqualTo(outcome);
        }
    }

    /** Guards against a second grant in any order of restores, grants and the moments at which routers notice. */
    @Property(tries = 300, seed = "7", shrinking = ShrinkingMode.OFF)
    void noKeyIsGrantedTwiceWhileTheRoutersThatKnowItsGrantLive(@ForAll long seed) {
        Fleet random = Fleet.of(seed, 3);
        random.routers.forEach(router -> random.begin(router, "warm-up", "x"));
        List<String> granted = new ArrayList<>();
        InMemoryPlatform.Copy copy = random.platform.copy();
        long era = 0;
        for (int i = 0; i < 60; i++) {
            int step = random.random.nextInt(20);
            if (step == 0) {
                copy = random.platform.copy();
            } else if (step == 1) {
                random.platform.restore(copy);
                long newEra = ++era;
                random.routers.forEach(router ->
                        router.after(random.random.nextLong(10_000), () -> router.journal.observeEra(newEra)));
            } else {
                String key = "key-" + random.random.nextInt(8);
                AtomicReference<Decision> decision =
                        random.beginAsync(random.routers.get(random.random.nextInt(3)), key, "content");
                random.scheduler.advance(random.random.nextLong(3_000));
                if (decision.get() instanceof Decision.Granted) {
                    granted.add(key);
                }
            }
        }
        assertThat(granted).doesNotHaveDuplicates();
    }
}
