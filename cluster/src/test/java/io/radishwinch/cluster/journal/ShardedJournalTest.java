package io.radishwinch.cluster.journal;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.journal.Journal.Decision;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Guards against second runs of a key and against keys that stay in doubt without need, without faults. */
class ShardedJournalTest {
    private static final long SEED = 7;

    private final Fleet fleet = Fleet.of(SEED, 3);

    @Test
    void aResendThroughAnotherRouterReplaysTheOriginalOutcome() {
        Decision grant = fleet.begin(fleet.router(0), "renewal-1", "charge 20");
        assertThat(grant).isInstanceOf(Decision.Granted.class);
        assertThat(fleet.complete(fleet.router(0), grant, "charged")).isTrue();

        assertThat(Fleet.replayedOutcome(fleet.begin(fleet.router(1), "renewal-1", "charge 20")))
                .isEqualTo("charged");
        assertThat(Fleet.replayedOutcome(fleet.begin(fleet.router(0), "renewal-1", "charge 20")))
                .isEqualTo("charged");
    }

    @Test
    void aKeyWithOtherContentIsRefused() {
        Decision grant = fleet.begin(fleet.router(0), "renewal-1", "charge 20");
        assertThat(fleet.begin(fleet.router(1), "renewal-1", "charge 99")).isInstanceOf(Decision.KeyReused.class);
        fleet.complete(fleet.router(0), grant, "charged");
        assertThat(fleet.begin(fleet.router(1), "renewal-1", "charge 99")).isInstanceOf(Decision.KeyReused.class);
        assertThat(fleet.begin(fleet.router(0), "renewal-1", "charge 99")).isInstanceOf(Decision.KeyReused.class);
    }

    @Test
    void twoWritersThatRaceForOneKeyGrantItOnce() {
        AtomicReference<Decision> first = fleet.beginAsync(fleet.router(0), "refund-1", "refund 5");
        AtomicReference<Decision> second = fleet.beginAsync(fleet.router(1), "refund-1", "refund 5");
        Decision a = fleet.await(first);
        Decision b = fleet.await(second);
        assertThat(a).isInstanceOf(Decision.Granted.class);
        assertThat(b).isInstanceOf(Decision.InProgress.class);
        assertThat(fleet.router(0).count("conflict") + fleet.router(1).count("conflict"))
                .isPositive();
    }

    @Test
    void anAbandonedKeyIsGrantedAgain() {
        Decision grant = fleet.begin(fleet.router(0), "refund-1", "refund 5");
        assertThat(fleet.abandon(fleet.router(0), grant)).isTrue();
        assertThat(fleet.begin(fleet.router(1), "refund-1", "refund 5")).isInstanceOf(Decision.Granted.class);
    }
}
