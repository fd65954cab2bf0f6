package io.radishwinch.standins;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.core.model.LayerRange;
import io.vertx.core.Vertx;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the simulated state of the stand-ins that the tests of other modules depend on. */
class StandInStateTest {

    /** Guards against a ledger that accepts a layer range which repeats, skips or reorders layers. */
    @Test
    void theLedgerFindsRepeatedSkippedAndReorderedLayers() {
        ExecutionLedger ledger = new ExecutionLedger();
        ledger.record("r/1", 5, 0, 12, "a");
        ledger.record("r/1", 5, 12, 24, "b");
        assertThat(ledger.violations()).isEmpty();
        assertThat(ledger.layersRun("r", 1, 5)).isEqualTo(24);
        ledger.record("r/1", 5, 12, 24, "b");
        ledger.record("r/1", 6, 12, 24, "b");
        ledger.record("r/1", 7, 0, 12, "a");
        ledger.record("r/1", 7, 14, 24, "b");
        assertThat(ledger.violations()).hasSize(3);
        assertThat(ledger.layersRun("r", 1, 6)).isZero();
    }

    /** Guards against a cache that never evicts, publishes events without delay or hides lost events. */
    @Test
    void theCacheReportsEvictionsWithDelayAndGaps() {
        PrefixCache cache = new PrefixCache(2, new EngineConfig.Timing(1, 100, 2, 1));
        assertThat(cache.lookUpAndAdd(List.of(1L, 2L), 0)).isZero();
        assertThat(cache.lookUpAndAdd(List.of(1L, 2L), 1)).isEqualTo(2);
        assertThat(cache.lookUpAndAdd(List.of(1L, 3L), 2)).isEqualTo(1);
        assertThat(cache.lookUpAndAdd(List.of(1L, 2L), 3)).isEqualTo(1);
        assertThat(cache.size()).isEqualTo(2);
        ObjectNode early = cache.eventsAfter(0, 99);
        assertThat(early.get("events")).isEmpty();
        ObjectNode late = cache.eventsAfter(0, 200);
        assertThat(late.get("events")).hasSize(2);
        assertThat(late.get("gap").asBoolean()).isTrue();
        assertThat(late.get("next").asLong()).isEqualTo(3);
        assertThat(late.get("events").get(1).get("removed")).hasSize(1);
    }

    /**
     * Guards against a KV cache that returns tokens for layers that were not computed, or that exceeds its capacity.
     */
    @Test
    void kvCacheIsReturnedOnlyForItsLayersAndStaysWithinItsBound() {
        KvStore kv = new KvStore(100);
        kv.put("a", new LayerRange(0, 12), 60);
        assertThat(kv.heldTokens("a", new LayerRange(0, 6))).isEqualTo(60);
        assertThat(kv.heldTokens("a", new LayerRange(6, 14))).isZero();
        kv.put("b", new LayerRange(0, 12), 50);
        assertThat(kv.heldTokens("a", new LayerRange(0, 6))).isZero();
        assertThat(kv.freeTokens()).isEqualTo(50);
    }

    /** Guards against a fleet without heterogeneous engines, or one that keeps a port bound after it is closed. */
    @Test
    void aFleetHasThreeEngineKindsAndReleasesItsPorts() throws Exception {
        Vertx vertx = Vertx.vertx();
        StandInFleet fleet = StandInFleet.start(vertx);
        assertThat(fleet.engines())
                .extracting(engine -> engine.config().acceleratorKind())
                .contains("large", "medium", "small");
        assertThat(fleet.services()).hasSize(2);
        EngineStandIn joined = fleet.join(EngineConfig.of("late", "large", 40, new LayerRange(0, 24)));
        int port = joined.port();
        joined.crash();
        joined.restart();
        assertThat(joined.port()).isEqualTo(port);
        fleet.leave("late");
        fleet.remove("late");
        assertThat(fleet.engines()).hasSize(9);
        fleet.close();
        new ServerSocket(port).close();
        vertx.close().toCompletionStage().toCompletableFuture().get();
    }
}
