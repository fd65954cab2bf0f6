package io.radishwinch.server.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Change;
import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformException;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.standins.PlatformStandIn;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Calls a platform stand-in over loopback sockets. */
class HttpPlatformClientTest {
    private static final long LONG_TIMEOUT_MS = 15_000;
    private Vertx vertx;
    private PlatformStandIn platform;
    private HttpPlatformClient client;
    private HttpPlatformClient shortTimeoutClient;

    @BeforeEach
    void startPlatform() {
        vertx = Vertx.vertx();
        platform = PlatformStandIn.start(vertx, 0, 4);
        client = client(LONG_TIMEOUT_MS);
        shortTimeoutClient = client(500);
    }

    private HttpPlatformClient client(long timeoutMs) {
        ClientOptions options =
                ClientOptions.defaults().withCallTimeoutMs(timeoutMs).withIdleTimeoutMs(timeoutMs);
        return new HttpPlatformClient(vertx, "127.0.0.1", platform.port(), options);
    }

    @AfterEach
    void stopPlatform() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against a change that silently overwrites a concurrent change of another operator. */
    @Test
    void theSecondOfTwoWritesWithTheSameExpectedVersionConflicts() {
        assertThat(put("config/a b/ä", 0, "one", "n1")).isEqualTo(new PutResult.Written(1));
        assertThat(put("config/a b/ä", 1, "two", "n2")).isEqualTo(new PutResult.Written(2));
        assertThat(put("config/a b/ä", 1, "three", "n3")).isInstanceOfSatisfying(PutResult.Conflict.class, conflict -> {
            assertThat(conflict.current().orElseThrow().nonce()).isEqualTo("n2");
            assertThat(text(conflict.current().orElseThrow().value())).isEqualTo("two");
        });
        assertThat(await(client.delete("config/a b/ä", 1, "n4"))).isInstanceOf(PutResult.Conflict.class);
        assertThat(await(client.delete("config/a b/ä", 2, "n5"))).isEqualTo(new PutResult.Written(3));
        assertThat(await(client.get("config/a b/ä"))).isEmpty();
        assertThat(await(client.delete("config/a b/ä", 0, "n6"))).isEqualTo(new PutResult.Conflict(Optional.empty()));
    }

    /** Guards against a revision that the restored platform gives out again and that is taken for the earlier one. */
    @Test
    void aVersionFromBeforeARestoreNamesNothingAfterIt() {
        platform.keepCopy();
        put("config/a", 0, "lost", "n1");
        platform.restoreCopy();
        platform.putObject("config/a", bytes("of another writer"));
        assertThat(kind(client.put("config/a", 1, bytes("x"), "n2"))).isEqualTo(PlatformException.Kind.STORE_RESTORED);
        platform.restoreCopy();
        platform.putObject("config/a", bytes("of another writer"));
        long version = await(client.get("config/a")).orElseThrow().version();
        assertThat(version).isGreaterThan(1);
        assertThat(put("config/a", 1, "x", "n3")).isInstanceOf(PutResult.Conflict.class);
        assertThat(text(platform.object("config/a"))).isEqualTo("of another writer");
        assertThat(put("config/a", version, "next", "n4")).isEqualTo(new PutResult.Written(version + 1));
    }

    @Test
    void aWatchFromBeforeARestoreFails() {
        platform.keepCopy();
        put("config/a", 0, "lost", "n1");
        platform.restoreCopy();
        platform.putObject("config/b", bytes("1"));
        assertThat(kind(client.watch("config/", 1).toUni())).isEqualTo(PlatformException.Kind.STORE_RESTORED);
    }

    /** Guards against a write that is retried or abandoned although it took effect, after its response was lost. */
    @Test
    void aLostResponseIsResolvedByTheNonce() {
        platform.dropResponses(1);
        assertThat(kind(client.put("journal/1/1", 0, bytes("x"), "mine")))
                .isEqualTo(PlatformException.Kind.EFFECT_UNKNOWN);
        assertThat(await(client.get("journal/1/1")).orElseThrow().nonce()).isEqualTo("mine");
    }

    /**
     * Guards against a failed write that reports the wrong certainty about its effect: refused, unanswered or not sent.
     */
    @Test
    void failuresReportWhetherTheyCanHaveHadAnEffect() {
        platform.setRates(0.001, 0.001);
        assertThat(kind(client.put("b", 0, bytes("1"), "n"))).isEqualTo(PlatformException.Kind.NO_EFFECT);
        platform.setRates(0, 0);
        assertThat(kind(client.put("b", 0, new byte[PlatformClient.MAX_VALUE_BYTES + 1], "n")))
                .isEqualTo(PlatformException.Kind.NO_EFFECT);
        platform.setCallDelayMs(60_000);
        assertThat(kind(shortTimeoutClient.put("c", 0, bytes("1"), "n")))
                .isEqualTo(PlatformException.Kind.EFFECT_UNKNOWN);
        assertThat(kind(shortTimeoutClient.get("a"))).isEqualTo(PlatformException.Kind.NO_EFFECT);
        platform.setCallDelayMs(0);
        platform.setDown(true);
        assertThat(kind(client.put("d", 0, bytes("1"), "n"))).isEqualTo(PlatformException.Kind.EFFECT_UNKNOWN);
        platform.crash();
        assertThat(kind(client.put("d", 0, bytes("1"), "n"))).isEqualTo(PlatformException.Kind.NO_EFFECT);
    }

    /** Guards against objects that are skipped or repeated at a page boundary. */
    @Test
    void pagesListEachObjectOnce() {
        for (int i = 0; i < 5; i++) {
            put("days/" + i, 0, "v" + i, "n");
        }
        put("dayz", 0, "other", "n");
        PlatformClient.Page first = await(client.list("days/", "", 3));
        PlatformClient.Page second =
                await(client.list("days/", first.objects().get(2).key(), 3));
        assertThat(first.hasMore()).isTrue();
        assertThat(second.hasMore()).isFalse();
        assertThat(second.storeVersion()).isEqualTo(6);
        assertThat(first.objects())
                .extracting(PlatformClient.StoredObject::key)
                .containsExactly("days/0", "days/1", "days/2");
        assertThat(second.objects())
                .extracting(PlatformClient.StoredObject::key)
                .containsExactly("days/3", "days/4");
    }

    /** Guards against changes that a watch skips, whether they were made before or after it was opened. */
    @Test
    void aWatchDeliversEveryChangeAfterItsStartVersion() {
        put("config/a", 0, "1", "n1");
        put("other", 0, "2", "n2");
        await(client.delete("config/a", 1, "n3"));
        List<Change> changes = client.watch("config/", 0)
                .onSubscription()
                .invoke(() -> vertx.runOnContext(ignored -> client.put("config/b", 0, new byte[900_000], "n4")
                        .subscribe()
                        .with(written -> {})))
                .select()
                .first(3)
                .collect()
                .asList()
                .await()
                .atMost(Duration.ofSeconds(20));
        assertThat(changes).extracting(Change::version).containsExactly(1L, 3L, 4L);
        assertThat(changes.get(1).value()).isEmpty();
        assertThat(changes.get(2).value().orElseThrow()).hasSize(900_000);
    }

    /**
     * Guards against a stale configuration: a watch must not start at a version that the platform no longer retains, or
     * has not reached.
     */
    @Test
    void aWatchFromBeforeTheRetainedHistoryIsRefused() {
        for (int i = 0; i < 6; i++) {
            put("config/" + i, 0, "v", "n");
        }
        assertThat(watchEnd(1)).isEqualTo(PlatformException.Kind.HISTORY_EXPIRED);
        assertThat(watchEnd(7)).isEqualTo(PlatformException.Kind.HISTORY_EXPIRED);
        platform.dropHistory();
        assertThat(watchEnd(5)).isEqualTo(PlatformException.Kind.HISTORY_EXPIRED);
    }

    /** Guards against a watch that waits indefinitely for a platform that hangs or has crashed. */
    @Test
    void aWatchOnAnUnresponsivePlatformFails() {
        platform.setPaused(true);
        assertThat(watchEnd(shortTimeoutClient, 0)).isEqualTo(PlatformException.Kind.NO_EFFECT);
        platform.crash();
        assertThat(watchEnd(0)).isEqualTo(PlatformException.Kind.NO_EFFECT);
    }

    /** Guards against fields of a VM, such as its role or state, that are lost in the VM list. */
    @Test
    void theVmListArrivesComplete() {
        PlatformStandIn.Vm vm = new PlatformStandIn.Vm("s-1", "dc2", "127.0.0.1", 81, "service", "billing", false);
        platform.putVm(vm.asLeaving());
        assertThat(await(client.vms()))
                .containsExactly(new PlatformClient.Vm("s-1", "dc2", "127.0.0.1", 81, "service", "billing", true));
    }

    /**
     * Guards against half a value that is taken for a whole one, as it ends with its connection and not with a length.
     */
    @Test
    void aValueWithoutLengthThatMayHaveBrokenOffIsAFailure() {
        assertThat(kind(responding("200 OK\r\nETag: \"4\"\r\n\r\nhalf a va").get("config/a")))
                .isEqualTo(PlatformException.Kind.NO_EFFECT);
        assertThat(kind(responding("200 OK\r\nETag: \"4\"\r\nContent-Length: 12\r\n\r\nhalf a va")
                        .get("config/a")))
                .isEqualTo(PlatformException.Kind.NO_EFFECT);
        PlatformClient.StoredObject whole = await(
                        responding("200 OK\r\nETag: \"4\"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
                                .get("config/a"))
                .orElseThrow();
        assertThat(text(whole.value())).isEqualTo("whole");
    }

    /** Guards against a page that is taken for the last one, so that all objects after it would be deleted. */
    @Test
    void aListingThatDoesNotSayWhetherMoreFollowsIsAFailure() {
        assertThat(kind(responding("200 OK\r\n\r\n{\"objects\":[],\"storeVersion\":3}")
                        .list("config/", "", 10)))
                .isEqualTo(PlatformException.Kind.NO_EFFECT);
        assertThat(await(responding("200 OK\r\n\r\n{\"objects\":[],\"more\":false,\"storeVersion\":3}")
                                .list("config/", "", 10))
                        .storeVersion())
                .isEqualTo(3);
    }

    /** Guards against a deletion that counts as done because its conflict broke off before the current object. */
    @Test
    void aConflictThatBrokeOffDoesNotMeanThatTheObjectIsAbsent() {
        for (String body : List.of("", "{}", "{\"current\":{")) {
            assertThat(kind(responding("412 Conflict\r\n\r\n" + body).delete("config/a", 4, "n")))
                    .isEqualTo(PlatformException.Kind.EFFECT_UNKNOWN);
        }
        assertThat(await(responding("412 Conflict\r\n\r\n{\"current\":null}").delete("config/a", 4, "n")))
                .isEqualTo(new PutResult.Conflict(Optional.empty()));
    }

    /** Guards against a change that broke off and that is reported as a deletion, because it lacks its value. */
    @Test
    void aWatchReportsOnlyLinesThatEnd() {
        String change = "{\"key\":\"config/a\",\"version\":5,\"nonce\":\"n\",\"value\":null}";
        List<Long> versions = new CopyOnWriteArrayList<>();
        PlatformClient broken = responding("200 OK\r\n\r\n" + change + "\n" + change.replace("5", "6"));
        assertThat(kind(broken.watch("config/", 4)
                        .invoke(reported -> versions.add(reported.version()))
                        .collect()
                        .last()))
                .isEqualTo(PlatformException.Kind.NO_EFFECT);
        assertThat(versions).containsExactly(5L);
    }

    /** Returns a client of a platform that responds with this status, headers and body, and closes the connection. */
    private HttpPlatformClient responding(String response) {
        NetServer server = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(request -> socket.end(Buffer.buffer("HTTP/1.1 " + response))))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join();
        return new HttpPlatformClient(
                vertx,
                "127.0.0.1",
                server.actualPort(),
                ClientOptions.defaults().withCallTimeoutMs(LONG_TIMEOUT_MS));
    }

    private PutResult put(String key, long expectedVersion, String value, String nonce) {
        return await(client.put(key, expectedVersion, bytes(value), nonce));
    }

    private PlatformException.Kind watchEnd(long from) {
        return watchEnd(client, from);
    }

    private static PlatformException.Kind watchEnd(PlatformClient client, long from) {
        return kind(client.watch("config/", from).collect().last());
    }

    private static PlatformException.Kind kind(Uni<?> call) {
        return call.map(result -> (PlatformException.Kind) null)
                .onFailure(PlatformException.class)
                .recoverWithItem(failure -> ((PlatformException) failure).kind())
                .await()
                .atMost(Duration.ofSeconds(20));
    }

    private static <T> T await(Uni<T> call) {
        return call.await().atMost(Duration.ofSeconds(20));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
