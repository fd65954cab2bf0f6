package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.standins.EngineConfig;
import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.ExecutionLedger;
import io.radishwinch.standins.StandInFleet;
import io.radishwinch.standins.Vocabulary;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests streams and calls against engine stand-ins over loopback sockets. */
class HttpEngineClientTest {
    private static final int UNLIMITED_TOKENS = 1_000_000;
    private Vertx vertx;
    private ExecutionLedger ledger;
    private EngineStandIn firstEngine;
    private EngineStandIn lastEngine;
    private EngineStandIn spare;
    private HttpEngineClient client;

    @BeforeEach
    void startEngines() {
        vertx = Vertx.vertx();
        ledger = new ExecutionLedger();
        firstEngine = start(EngineConfig.of("head", "large", 10, new LayerRange(0, 12)));
        lastEngine = start(EngineConfig.of("tail", "large", 10, new LayerRange(12, 24)));
        spare = start(EngineConfig.of("spare", "small", 10, new LayerRange(12, 24))
                .withFencing(false)
                .withOrderKey(StandInFleet.ORDER_KEY));
        client = new HttpEngineClient(
                vertx,
                ClientOptions.defaults().withIdleTimeoutMs(4_000).withCallTimeoutMs(15_000),
                System::currentTimeMillis,
                StandInFleet.ORDER_KEY);
    }

    @AfterEach
    void stopEngines() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against lost, duplicate or mismatched tokens and against layers that run twice or not at all. */
    @Test
    void streamIsCompleteAndEachLayerRunsOncePerToken() {
        AttemptRequest attempt = Attempts.over(firstEngine, lastEngine, "whole", 1, 40);
        List<EngineEvent> events = Attempts.run(client, attempt);

        assertThat(events.get(0)).isEqualTo(new EngineEvent.Accepted());
        assertThat(Attempts.last(events)).isEqualTo(new EngineEvent.Done(40, "length"));
        assertThat(String.join("", Attempts.texts(events))).isEqualTo(Vocabulary.completion(attempt.prompt(), 40));
        for (int position = 0; position < 40; position++) {
            assertThat(ledger.layersRun("whole", 1, position)).isEqualTo(StandInFleet.MODEL_LAYERS);
        }
        assertThat(ledger.violations()).isEmpty();
    }

    /** Guards against missing or duplicate tokens if a stage fails during a stream. */
    @Test
    void streamResumedOnAnotherChainEqualsTheUninterruptedOne() {
        AttemptRequest attempt = Attempts.over(firstEngine, lastEngine, "resumed", 1, 60);
        List<EngineEvent> first =
                runUntil(attempt, 20, lastEngine::crash).stream().limit(21).toList();
        AttemptRequest again =
                Attempts.resumed(Attempts.over(firstEngine, spare, "resumed", 1, 60), Attempts.texts(first));
        List<EngineEvent> second = Attempts.run(client, again);

        List<String> all = new ArrayList<>(Attempts.texts(first));
        all.addAll(Attempts.texts(second));
        assertThat(String.join("", all)).isEqualTo(Vocabulary.completion(attempt.prompt(), 60));
        assertThat(Attempts.last(second)).isEqualTo(new EngineEvent.Done(60, "length"));
        assertThat(ledger.violations()).isEmpty();
    }

    /**
     * Guards against a chain that runs all layers of an endpoint instead of the planned ones, and against corrupted KV
     * cache.
     */
    @Test
    void chainOverPartsOfOverlappingHoldingsResumesAStream() {
        StandInFleet fleet = StandInFleet.start(vertx);
        AttemptRequest first = Attempts.over(fleet.engine("large-1"), fleet.engine("large-2"), "parts", 1, 4);
        List<String> delivered = Attempts.texts(Attempts.run(client, first));
        AttemptRequest.StageTarget middle = new AttemptRequest.StageTarget(
                Attempts.address(fleet.engine("medium-2")),
                new LayerRange(8, 15),
                List.of(Attempts.address(fleet.engine("small-1")), Attempts.address(fleet.engine("large-1"))));
        AttemptRequest second = new AttemptRequest(
                "parts",
                2,
                first.model(),
                List.of(
                        Attempts.stage(fleet.engine("medium-1"), 0, 8),
                        middle,
                        Attempts.stage(fleet.engine("medium-3"), 15, 24)),
                first.prompt(),
                4,
                List.of(),
                delivered,
                12,
                0,
                first.deadlineMs());
        List<EngineEvent> events = Attempts.run(client, second);
        assertThat(String.join("", delivered) + String.join("", Attempts.texts(events)))
                .isEqualTo(Vocabulary.completion(first.prompt(), 12));
        assertThat(fleet.ledger().layersRun("parts", 2, 11)).isEqualTo(StandInFleet.MODEL_LAYERS);
        assertThat(fleet.ledger().violations()).isEmpty();
        fleet.close();
    }

    /** Guards against a failure that is attributed to an endpoint without a fault. */
    @Test
    void crashDuringAStreamNamesTheCrashedStage() {
        List<EngineEvent> events = runUntil(
                Attempts.over(firstEngine, lastEngine, "tail-crash", 1, UNLIMITED_TOKENS), 5, lastEngine::crash);
        assertFailed(Attempts.last(events), "tail", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        lastEngine.restart();
        events = runUntil(
                Attempts.over(firstEngine, lastEngine, "head-crash", 1, UNLIMITED_TOKENS), 5, firstEngine::crash);
        assertFailed(Attempts.last(events), "head", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        awaitTrue(() -> lastEngine.runningAttempts() == 0);
    }

    /** Guards against requests that wait until their deadline for an engine that hangs with open connections. */
    @Test
    void unresponsiveStageIsNamed() {
        List<EngineEvent> events = runUntil(
                Attempts.over(firstEngine, lastEngine, "tail-hangs", 1, UNLIMITED_TOKENS),
                5,
                () -> lastEngine.setPaused(true));
        assertFailed(Attempts.last(events), "tail", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        lastEngine.setPaused(false);
        events = runUntil(
                Attempts.over(firstEngine, lastEngine, "head-hangs", 1, UNLIMITED_TOKENS),
                5,
                () -> firstEngine.setPaused(true));
        assertFailed(Attempts.last(events), "head", Reason.ENDPOINT_TIMEOUT, Verdict.MAY_HAVE_RUN);
    }

    /** Guards against a crash by a later stage's prompt processing that is attributed to the first stage. */
    @Test
    void promptThatCrashesALaterStageNamesThatStage() {
        lastEngine.crashOnPrompt("poison");
        List<EngineEvent> events = Attempts.run(client, Attempts.over(firstEngine, lastEngine, "poison", 1, 5));
        assertFailed(Attempts.last(events), "tail", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
    }

    /** Guards against the verdict may-have-run for an attempt that no engine accepted. */
    @Test
    void attemptThatNoEngineAcceptedDidNotRun() {
        firstEngine.setLeaving(true);
        List<EngineEvent> events = Attempts.run(client, Attempts.over(firstEngine, lastEngine, "leaving", 1, 5));
        assertFailed(Attempts.last(events), "head", Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
        firstEngine.crash();
        // A pooled connection from before the crash would lead to the verdict may-have-run.
        HttpEngineClient newClient =
                new HttpEngineClient(vertx, ClientOptions.defaults(), System::currentTimeMillis, "");
        events = Attempts.run(newClient, Attempts.over(firstEngine, lastEngine, "refused", 1, 5));
        assertFailed(Attempts.last(events), "head", Reason.STAGE_DIED, Verdict.NOT_RUN);
        assertThat(ledger.executions()).isZero();
    }

    /** Guards against engines that continue to work for a disconnected caller. */
    @Test
    void cancelledAttemptStopsOnAllStages() {
        client.stream(Attempts.over(firstEngine, lastEngine, "closed", 1, UNLIMITED_TOKENS))
                .select()
                .first(5)
                .collect()
                .asList()
                .await()
                .atMost(Duration.ofSeconds(20));
        awaitTrue(() -> firstEngine.runningAttempts() == 0 && lastEngine.runningAttempts() == 0);
        assertThat(firstEngine.cancelledAttempts()).isEqualTo(1);

        Runnable cancel = () -> client.cancel(Attempts.address(firstEngine), "deleted", 1)
                .await()
                .atMost(Duration.ofSeconds(20));
        List<EngineEvent> events =
                runUntil(Attempts.over(firstEngine, lastEngine, "deleted", 1, UNLIMITED_TOKENS), 5, cancel);
        assertFailed(Attempts.last(events), "head", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        awaitTrue(() -> firstEngine.runningAttempts() == 0 && lastEngine.runningAttempts() == 0);
    }

    /** Guards against events beyond the reader's demand, and against a stream that stalls after a pause. */
    @Test
    void slowReaderReceivesEveryTokenInOrder() {
        AttemptRequest attempt = Attempts.over(firstEngine, lastEngine, "slow", 1, 300);
        List<String> texts = client.stream(attempt)
                .onItem()
                .transformToUniAndConcatenate(
                        event -> Uni.createFrom().item(event).onItem().delayIt().by(Duration.ofMillis(1)))
                .collect()
                .asList()
                .map(Attempts::texts)
                .await()
                .atMost(Duration.ofSeconds(60));
        assertThat(String.join("", texts)).isEqualTo(Vocabulary.completion(attempt.prompt(), 300));
    }

    /** Guards against orders of a router that has lost its lease, and against orders without a valid key. */
    @Test
    void ordersAreCheckedByFencingTokenAndKey() {
        EngineOrder order = new EngineOrder.LoadLayers(StandInFleet.MODEL, new LayerRange(0, 6));
        assertThat(order(client, firstEngine, 7, order)).isTrue();
        assertThat(order(client, firstEngine, 7, order)).isFalse();
        assertThat(order(client, spare, 7, order)).isTrue();
        assertThat(order(client, spare, 6, order)).isTrue();
        HttpEngineClient clientWithoutKey =
                new HttpEngineClient(vertx, ClientOptions.defaults(), System::currentTimeMillis, "");
        assertThat(clientWithoutKey
                        .sendOrder(Attempts.address(spare), 8, order)
                        .map(accepted -> Verdict.RAN)
                        .onFailure(EndpointException.class)
                        .recoverWithItem(failure -> ((EndpointException) failure).verdict())
                        .await()
                        .atMost(Duration.ofSeconds(20)))
                .isEqualTo(Verdict.NOT_RUN);
        awaitTrue(() -> new LayerRange(0, 6).equals(firstEngine.layers()));
    }

    /** Guards against fields that are lost when reports are decoded. */
    @Test
    void loadReportsCacheEventsAndKvTransfersKeepAllFields() {
        AttemptRequest plain = Attempts.over(firstEngine, lastEngine, "report", 1, 4);
        AttemptRequest attempt = new AttemptRequest(
                "report",
                1,
                plain.model(),
                plain.stages(),
                plain.prompt(),
                4,
                List.of(11L, -12L),
                List.of(),
                4,
                0,
                plain.deadlineMs());
        Attempts.run(client, attempt);
        EngineLoad load = client.fetchLoad(Attempts.address(spare)).await().atMost(Duration.ofSeconds(20));
        assertThat(load.report().holdings().get(0).layers()).isEqualTo(new LayerRange(12, 24));
        assertThat(load.acceleratorKind()).isEqualTo("small");
        assertThat(load.honoursFencing()).isFalse();
        assertThat(load.checksOrders()).isTrue();
        awaitTrue(() -> !cacheEvents(0).added().isEmpty());
        assertThat(cacheEvents(0).added()).containsExactly(11L, -12L);
        assertThat(cacheEvents(0).hasGap()).isFalse();
        assertThat(cacheEvents(9).hasGap()).isTrue();
        KvRange range = new KvRange("report", StandInFleet.MODEL, new LayerRange(12, 24));
        assertThat(client.importKv(Attempts.address(spare), range, Attempts.address(lastEngine))
                        .await()
                        .atMost(Duration.ofSeconds(20)))
                .isEqualTo(8);
        assertThat(client.exportKv(Attempts.address(spare), range).await().atMost(Duration.ofSeconds(20)))
                .isNotEmpty();
    }

    /** Guards against a part of a KV cache that is taken for all of it because its connection was closed. */
    @Test
    void exportedKvCacheThatOnlyTheEndOfItsConnectionDelimitsIsAFailure() throws Exception {
        NetServer engine = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(
                        request -> socket.write("HTTP/1.1 200 OK\r\n\r\nhalf").onComplete(sent -> socket.close())))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        EndpointAddress address = new EndpointAddress("engine", "127.0.0.1", engine.actualPort());
        KvRange range = new KvRange("r", StandInFleet.MODEL, new LayerRange(0, 12));
        assertThatThrownBy(() -> client.exportKv(address, range).await().atMost(Duration.ofSeconds(20)))
                .isInstanceOfSatisfying(EndpointException.class, failure -> assertThat(failure.reason())
                        .isEqualTo(Reason.STAGE_DIED));
    }

    private CacheEvents cacheEvents(long from) {
        return client.fetchCacheEvents(Attempts.address(firstEngine), from)
                .await()
                .atMost(Duration.ofSeconds(20));
    }

    private static boolean order(EngineClient client, EngineStandIn engine, long fencing, EngineOrder order) {
        return client.sendOrder(Attempts.address(engine), fencing, order)
                .await()
                .atMost(Duration.ofSeconds(20));
    }

    private EngineStandIn start(EngineConfig config) {
        return EngineStandIn.start(vertx, config, ledger);
    }

    /** Runs an attempt, runs the action after the given number of tokens and returns all events. */
    private List<EngineEvent> runUntil(AttemptRequest attempt, int tokens, Runnable action) {
        List<EngineEvent> events = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch enough = new CountDownLatch(tokens + 1);
        CountDownLatch ended = new CountDownLatch(1);
        client.open(attempt, event -> {
            events.add(event);
            enough.countDown();
            if (event instanceof EngineEvent.Failed || event instanceof EngineEvent.Done) {
                ended.countDown();
            }
        });
        awaitTrue(() -> enough.getCount() == 0);
        action.run();
        awaitTrue(() -> ended.getCount() == 0);
        return List.copyOf(events);
    }

    private static void assertFailed(EngineEvent event, String endpoint, Reason reason, Verdict verdict) {
        assertThat(event).isInstanceOfSatisfying(EngineEvent.Failed.class, failed -> {
            assertThat(failed.endpointId()).isEqualTo(endpoint);
            assertThat(failed.reason()).isEqualTo(reason);
            assertThat(failed.verdict()).isEqualTo(verdict);
        });
    }

    private static void awaitTrue(BooleanSupplier condition) {
        // The limit applies only if the test fails.
        for (int i = 0; i < 4_000 && !condition.getAsBoolean(); i++) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }
}
