package io.radishwinch.server.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Failures;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.function.LongSupplier;

/**
 * Engine client over HTTP; see docs/protocols.md.
 *
 * <p>Streams share connections, as do reports: their lines and fields show to which of them they belong. The responses
 * to all other calls do not name their call, so that each of these has a connection of its own.
 */
public final class HttpEngineClient implements EngineClient {
    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_CONFLICT = 409;

    /** Buffered events of a paused stream; exceeds the number of shortest token lines in a chunk of 64 KiB. */
    private static final int EVENT_BUFFER_SIZE = 4_096;

    private final Vertx vertx;
    private final HttpClient streamClient;
    private final HttpClient reportClient;
    private final HttpClient callClient;
    private final ClientOptions options;
    private final LongSupplier clockMs;
    private final String orderKey;
    private final StreamCounters counters = new StreamCounters();

    /**
     * Creates a client with its own connection pool.
     *
     * @param clockMs the router's clock, in ms
     * @param orderKey key that authenticates orders, or an empty string for none
     */
    public HttpEngineClient(Vertx vertx, ClientOptions options, LongSupplier clockMs, String orderKey) {
        this.vertx = vertx;
        this.streamClient = HttpExchange.newClient(vertx, options);
        this.reportClient = HttpExchange.newClient(vertx, options);
        this.callClient = HttpExchange.newUnpooledClient(vertx, options);
        this.options = options;
        this.clockMs = clockMs;
        this.orderKey = orderKey;
    }

    /** Returns the counters of all streams. */
    public StreamCounters counters() {
        return counters;
    }

    /** Closes all connections. */
    public Future<Void> close() {
        return Future.join(streamClient.close(), reportClient.close(), callClient.close())
                .mapEmpty();
    }

    @Override
    public EngineStream open(AttemptRequest request, EngineStream.Receiver receiver) {
        HttpEngineStream stream = new HttpEngineStream(vertx, request, options, clockMs, counters, receiver);
        stream.start(streamClient);
        return stream;
    }

    @Override
    public Multi<EngineEvent> stream(AttemptRequest request) {
        return Multi.createFrom().emitter(emitter -> open(request, emitter), EVENT_BUFFER_SIZE);
    }

    private void open(AttemptRequest request, MultiEmitter<? super EngineEvent> emitter) {
        HttpEngineStream[] stream = new HttpEngineStream[1];
        stream[0] = new HttpEngineStream(vertx, request, options, clockMs, counters, event -> {
            emitter.emit(event);
            if (event instanceof EngineEvent.Done || event instanceof EngineEvent.Failed) {
                emitter.complete();
            } else if (emitter.requested() == 0) {
                stream[0].pause();
                if (emitter.requested() > 0) {
                    // Demand arrived between the check and the pause.
                    stream[0].resume();
                }
            }
        });
        emitter.onRequest(count -> stream[0].resume());
        emitter.onTermination(() -> stream[0].cancel());
        stream[0].start(streamClient);
    }

    @Override
    public Uni<Void> cancel(EndpointAddress firstStage, String requestId, int epoch) {
        return call(
                firstStage, HttpMethod.DELETE, "/v1/attempts/" + requestId + "/" + epoch, null, (response, status) -> {
                    if (status != HTTP_NOT_FOUND) {
                        requireOk(firstStage, response);
                    }
                    return null;
                });
    }

    @Override
    public Uni<Boolean> sendOrder(EndpointAddress engine, long fencingToken, EngineOrder order) {
        return call(
                engine,
                HttpMethod.POST,
                "/v1/orders",
                EngineJson.encodeOrder(fencingToken, order),
                (response, status) -> {
                    if (status != HTTP_CONFLICT) {
                        requireOk(engine, response);
                    }
                    return EngineJson.decodeOrderResult(response.body(), fencingToken, status == HTTP_OK);
                });
    }

    @Override
    public Uni<EngineLoad> fetchLoad(EndpointAddress endpoint) {
        return call(reportClient, endpoint, HttpMethod.GET, "/v1/load", null, (response, status) -> {
            requireOk(endpoint, response);
            return EngineJson.decodeLoad(endpoint, response.body(), clockMs.getAsLong());
        });
    }

    @Override
    public Uni<CacheEvents> fetchCacheEvents(EndpointAddress engine, long from) {
        return call(reportClient, engine, HttpMethod.GET, "/v1/cache-events?from=" + from, null, (response, status) -> {
            requireOk(engine, response);
            return EngineJson.decodeCacheEvents(response.body(), from);
        });
    }

    @Override
    public Uni<byte[]> exportKv(EndpointAddress engine, KvRange range) {
        return call(
                engine, HttpMethod.POST, "/v1/kv/export", EngineJson.encodeKvRange(range, null), (response, status) -> {
                    requireOk(engine, response);
                    if (!response.isDelimited()) {
                        throw new EndpointException(
                                engine.endpointId(),
                                Reason.STAGE_DIED,
                                Verdict.MAY_HAVE_RUN,
                                "KV cache without a length or chunks may have broken off",
                                null);
                    }
                    return response.body().getBytes();
                });
    }

    @Override
    public Uni<Integer> importKv(EndpointAddress engine, KvRange range, EndpointAddress source) {
        return call(
                engine,
                HttpMethod.POST,
                "/v1/kv/import",
                EngineJson.encodeKvRange(range, source),
                (response, status) -> {
                    requireOk(engine, response);
                    JsonNode node = EngineJson.JSON.readTree(response.body().getBytes());
                    return EngineJson.requiredField(node, "tokens").asInt();
                });
    }

    private <T> Uni<T> call(
            EndpointAddress address, HttpMethod method, String uri, Buffer body, ResponseReader<T> reader) {
        return call(callClient, address, method, uri, body, reader);
    }

    private <T> Uni<T> call(
            HttpClient client,
            EndpointAddress address,
            HttpMethod method,
            String uri,
            Buffer body,
            ResponseReader<T> reader) {
        return Uni.createFrom().emitter(emitter -> {
            MultiMap headers = MultiMap.caseInsensitiveMultiMap();
            if (uri.equals("/v1/orders") && !orderKey.isEmpty()) {
                headers.set("Authorization", "Bearer " + orderKey);
            }
            int maxBytes = uri.equals("/v1/kv/export") ? MAX_KV_BYTES : options.maxResponseBytes();
            HttpExchange.send(
                            vertx,
                            client,
                            address,
                            method,
                            uri,
                            headers,
                            body,
                            options.callTimeoutMs(),
                            maxBytes,
                            HttpExchange.Attribution.NONE)
                    .onFailure(emitter::fail)
                    .onSuccess(response -> {
                        T result;
                        try {
                            result = reader.read(response, response.status());
                        } catch (EndpointException e) {
                            emitter.fail(e);
                            return;
                        } catch (IOException | RuntimeException e) {
                            emitter.fail(new EndpointException(
                                    address.endpointId(),
                                    Reason.STAGE_DIED,
                                    Verdict.MAY_HAVE_RUN,
                                    "malformed response to " + uri + ": " + Failures.describe(e),
                                    e));
                            return;
                        }
                        emitter.complete(result);
                    });
        });
    }

    private static void requireOk(EndpointAddress address, HttpExchange.Response response) {
        if (response.status() != HTTP_OK) {
            throw new EndpointException(
                    address.endpointId(),
                    Reason.ENDPOINT_REFUSED,
                    response.isNotRun() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                    "unexpected HTTP status " + response.status(),
                    null);
        }
    }

    /** Decodes a response. */
    @FunctionalInterface
    private interface ResponseReader<T> {
        T read(HttpExchange.Response response, int status) throws IOException;
    }
}
