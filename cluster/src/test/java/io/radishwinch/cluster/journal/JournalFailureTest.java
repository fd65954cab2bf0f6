package io.radishwinch.cluster.journal;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/**
 * Guards against second runs of a key and against keys that stay in doubt without need, for each failure of routers,
 * peers and the platform.
 */
class JournalFailureTest {
    private static final long SEED = 11;
    /** Longer than a call to the platform and shorter than the timeout of a step. */
    private static final long ROUND_TRIP_MS = 50;

    private final Fleet fleet = new Fleet(
            SEED,
            3,
            JournalSettings.of("template")
                    .withShardCount(1)
                    .withCommitIntervalMs(1)
                    .withShardLimits(4, 1_000, 0));
    private final TestRouter first = fleet.router(0);
    private final TestRouter second = fleet.router(1);

    @Test
    void aRouterThatCrashesBeforeItsWriteLeavesTheKeyFree() {
        fleet.begin(second, "warm-up", "x");
        fleet.beginAsync(first, "refund", "5");
        first.crash();
        fleet.platform.faults().setDown(true);
        fleet.scheduler.advance(ROUND_TRIP_MS);
        fleet.platform.faults().clear();
        fleet.scheduler.advance(5_000);
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.Granted.class);
    }

    @Test
    void aRouterThatCrashesBetweenItsWriteAndTheReplyLeavesTheKeyInDoubt() {
        AtomicReference<Decision> decision = fleet.beginAsync(first, "refund", "5");
        long before = fleet.platform.storeVersion();
        while (fleet.platform.storeVersion() == before) {
            fleet.scheduler.runNext();
        }
        first.crash();
        fleet.scheduler.advance(ROUND_TRIP_MS);
        assertThat(decision.get()).isNull();
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.OutcomeUnknown.class);
    }

    @Test
    void aRouterThatCrashesWithAGrantLeavesTheKeyInDoubt() {
        assertThat(fleet.begin(first, "refund", "5")).isInstanceOf(Decision.Granted.class);
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.InProgress.class);
        first.crash();
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.OutcomeUnknown.class);
        assertThat(fleet.begin(fleet.start(), "refund", "5")).isInstanceOf(Decision.OutcomeUnknown.class);
    }

    @Test
    void anOutcomeWrittenJustBeforeItsRouterCrashedIsReplayed() {
        Decision.Granted grant = (Decision.Granted) fleet.begin(first, "refund", "5");
        first.journal.complete(grant, Fleet.bytes("refunded")).subscribe().with(recorded -> {});
        long before = fleet.platform.storeVersion();
        while (fleet.platform.storeVersion() == before) {
            fleet.scheduler.runNext();
        }
        first.crash();
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "refund", "5"))).isEqualTo("refunded");
    }

    @Test
    void aPausedWriterWhoseNextSequenceNumberWasCompactedIsNotGrantedTheKey() {
        fleet.begin(first, "warm-up", "x");
        first.pause();
        Decision grant = fleet.begin(second, "refund", "5");
        fleet.complete(second, grant, "refunded");
        for (int i = 0; i < 20; i++) {
            fleet.begin(second, "filler-" + i, "x");
        }
        fleet.scheduler.advance(1_000);
        assertThat(second.count("compaction")).isPositive();
        assertThat(fleet.platform.contents()).doesNotContainKey("journal/0/0000000000000000002");

        first.resume();
        assertThat(Fleet.replayedOutcome(fleet.begin(first, "refund", "5"))).isEqualTo("refunded");
        assertThat(first.count("void")).isEqualTo(1);
        fleet.scheduler.advance(1_000);
        assertThat(fleet.platform.contents()).doesNotContainKey("journal/0/0000000000000000002");
    }

    @Test
    void aGrantOutlivesThePauseOfItsRouter() {
        Decision grant = fleet.begin(first, "refund", "5");
        first.pause();
        fleet.scheduler.advance(Duration.ofHours(2).toMillis());
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.InProgress.class);
        first.resume();
        assertThat(fleet.complete(first, grant, "refunded")).isTrue();
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "refund", "5"))).isEqualTo("refunded");
    }

    @Test
    void aLostResponseToTheCreateStillGivesTheGrantOnce() {
        fleet.platform.faults().loseNextWriteResponses(1);
        assertThat(fleet.begin(first, "refund", "5")).isInstanceOf(Decision.Granted.class);
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.InProgress.class);
    }

    @Test
    void anIntentOfUnknownEffectIsAbandonedWhenThePlatformReturns() {
        fleet.begin(first, "warm-up", "x");
        AtomicReference<Decision> decision = fleet.beginAsync(first, "refund", "5");
        fleet.platform.faults().loseNextWriteResponses(1);
        fleet.scheduler.advance(1);
        fleet.platform.faults().setDown(true);
        assertThat(fleet.await(decision)).isInstanceOf(Decision.Unavailable.class);
        fleet.platform.faults().clear();
        fleet.scheduler.advance(10_000);
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.Granted.class);
    }

    @Test
    void anOutageRefusesNewRunsAndStillReplaysRecordedOutcomes() {
        fleet.preferredWriterIndex = 0;
        Decision grant = fleet.begin(second, "refund", "5");
        fleet.complete(second, grant, "refunded");
        fleet.platform.faults().setDown(true);
        assertThat(fleet.begin(second, "renewal", "20")).isInstanceOf(Decision.Unavailable.class);
        assertThat(Fleet.replayedOutcome(fleet.begin(first, "refund", "5"))).isEqualTo("refunded");
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "refund", "5"))).isEqualTo("refunded");
        assertThat(Fleet.replayedOutcome(fleet.begin(fleet.router(2), "refund", "5")))
                .isEqualTo("refunded");
        fleet.platform.faults().clear();
        fleet.scheduler.advance(5_000);
        assertThat(fleet.begin(second, "renewal", "20")).isInstanceOf(Decision.Granted.class);
    }

    @Test
    void anOutcomeCompletedDuringAnOutageIsRecordedAfterIt() {
        Decision grant = fleet.begin(first, "refund", "5");
        fleet.platform.faults().setDown(true);
        assertThat(fleet.complete(first, grant, "refunded")).isFalse();
        assertThat(Fleet.replayedOutcome(fleet.begin(first, "refund", "5"))).isEqualTo("refunded");
        fleet.platform.faults().clear();
        fleet.scheduler.advance(10_000);
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "refund", "5"))).isEqualTo("refunded");
    }

    @Test
    void aSlowPlatformCausesARefusalAndTheLateGrantIsAbandoned() {
        fleet.platform.faults().setLatencyMs(10_000, 10_000);
        assertThat(fleet.begin(first, "refund", "5")).isInstanceOf(Decision.Unavailable.class);
        fleet.platform.faults().clear();
        fleet.scheduler.advance(60_000);
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.Granted.class);
    }

    @Test
    void aForwardedRequestWhoseReplyIsLostIsGrantedByItsNonce() {
        fleet.preferredWriterIndex = 0;
        first.losesPeerReplies = true;
        Decision grant = fleet.begin(second, "refund", "5");
        assertThat(grant).isInstanceOf(Decision.Granted.class);
        assertThat(fleet.begin(fleet.router(2), "refund", "5")).isInstanceOf(Decision.InProgress.class);
        assertThat(fleet.complete(second, grant, "refunded")).isTrue();
    }

    @Test
    void aResumedPreferredWriterDoesNotTakeTheKey() {
        fleet.preferredWriterIndex = 0;
        fleet.begin(second, "warm-up", "x");
        first.pause();
        Decision grant = fleet.begin(second, "refund", "5");
        assertThat(grant).isInstanceOf(Decision.Granted.class);
        assertThat(fleet.abandon(second, grant)).isTrue();
        first.resume();
        fleet.scheduler.advance(5_000);
        assertThat(fleet.begin(fleet.router(2), "refund", "5")).isInstanceOf(Decision.Granted.class);
    }

    @Test
    void outcomesSurviveCompactionAndTheCrashOfAllRouters() {
        for (int i = 0; i < 40; i++) {
            fleet.complete(first, fleet.begin(first, "key-" + i, "x"), "answer-" + i);
        }
        fleet.scheduler.advance(5_000);
        fleet.routers.forEach(TestRouter::crash);
        TestRouter successor = fleet.start();
        for (int i = 0; i < 40; i++) {
            assertThat(Fleet.replayedOutcome(fleet.begin(successor, "key-" + i, "x")))
                    .isEqualTo("answer-" + i);
        }
        assertThat(fleet.platform.contents()).hasSizeLessThan(10);
    }

    @Test
    void outcomesBeyondTheMemoryBoundAreReplayedFromTheirSnapshot() {
        String large = "a".repeat(60_000);
        for (int i = 0; i < 30; i++) {
            fleet.complete(first, fleet.begin(first, "key-" + i, "x"), large + i);
        }
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "key-0", "x"))).isEqualTo(large + 0);
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "key-29", "x"))).isEqualTo(large + 29);
        fleet.platform.contents().values().forEach(object -> assertThat(object.value())
                .hasSizeLessThan(1_000_000));
    }

    @Test
    void anOutcomeBeyondTheSizeBoundLeavesTheKeyInDoubt() {
        Decision grant = fleet.begin(first, "refund", "5");
        assertThat(fleet.complete(first, grant, "a".repeat(JournalSettings.MAX_OUTCOME_BYTES + 1)))
                .isFalse();
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.OutcomeUnknown.class);
    }

    @Test
    void keysExpireAndAreDeletedAfterTheRetentionAndNotBefore() {
        Decision grant = fleet.begin(first, "refund", "5");
        fleet.complete(first, grant, "refunded");
        fleet.scheduler.advance(Duration.ofHours(23).toMillis());
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "refund", "5"))).isEqualTo("refunded");
        fleet.scheduler.advance(Duration.ofHours(3).toMillis());
        assertThat(fleet.platform.contents()).hasSizeLessThan(6);
        assertThat(fleet.platform.contents().keySet()).noneMatch(key -> key.startsWith("journal-segments"));
        assertThat(fleet.begin(second, "refund", "5")).isInstanceOf(Decision.Granted.class);
    }

    @Test
    void aFullShardRefusesNewKeys() {
        Fleet small = new Fleet(
                SEED, 1, JournalSettings.of("template").withShardCount(1).withShardLimits(4, 2, 0));
        small.begin(small.router(0), "key-0", "x");
        small.begin(small.router(0), "key-1", "x");
        assertThat(small.begin(small.router(0), "key-2", "x")).isInstanceOf(Decision.Unavailable.class);
    }

    @Test
    void aSegmentThatCannotBeDecodedRefusesItsShardUntilItIsRestored() {
        for (int i = 0; i < 10; i++) {
            fleet.complete(first, fleet.begin(first, "key-" + i, "x"), "answer-" + i);
        }
        fleet.scheduler.advance(5_000);
        StoredObject segment = fleet.platform.contents().values().stream()
                .filter(object -> object.key().startsWith("journal-segments"))
                .findFirst()
                .orElseThrow();
        fleet.await(replaceObject(segment.key(), segment.version(), new byte[] {99}));
        assertThat(fleet.begin(second, "key-0", "x")).isInstanceOf(Decision.Unavailable.class);
        long version = fleet.platform.contents().get(segment.key()).version();
        fleet.await(replaceObject(segment.key(), version, segment.value()));
        fleet.scheduler.advance(5_000);
        assertThat(Fleet.replayedOutcome(fleet.begin(second, "key-0", "x"))).isEqualTo("answer-0");
    }

    private AtomicReference<Object> replaceObject(String key, long version, byte[] value) {
        AtomicReference<Object> result = new AtomicReference<>();
        fleet.platform.put(key, version, value, "operator").subscribe().with(result::set);
        return result;
    }
}
