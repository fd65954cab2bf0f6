package io.radishwinch.server.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
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

/** Engine port over HTTP, docs/protocols.md. */
public final class HttpEngineClient implements EngineClient {
    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_CONFLICT = 409;

    /** Holds the events of one chunk of a paused stream; a chunk of 64 KiB holds fewer shortest token lines. */
    private static final int EVENT_BUFFER_SIZE = 4_096;

    private final Vertx vertx;
    private final HttpClient client;
    private final ClientOptions options;
    private final LongSupplier clockMs;
    private final String orderKey;
    private final StreamCounters counters = new StreamCounters();

    /**
     * Creates a client with a connection pool of its own.
     *
     * @param nowMs the router's clock, in ms
     * @param orderKey key shown with orders, or an empty string
     */
    public HttpEngineClient(Vertx vertx, ClientOptions options, LongSupplier nowMs, String orderKey) {
        this.vertx = vertx;
        this.client = HttpExchange.newClient(vertx, options);
        this.options = options;
        this.clockMs = nowMs;
        this.orderKey = orderKey;
    }

    /** Returns the counters of all streams. */
    public StreamCounters counters() {
        return counters;
    }

    /** Closes all connections. */
    public Future<Void> close() {
        return client.close();
    }

    @Override
    public EngineStream open(AttemptRequest request, EngineStream.Receiver receiver) {
        HttpEngineStream stream = new HttpEngineStream(vertx, request, options, clockMs, counters, receiver);
        stream.start(client);
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
                    // Demand that arrived between check and pause.
                    stream[0].resume();
                }
            }
        });
        emitter.onRequest(count -> stream[0].resume());
        emitter.onTermination(() -> stream[0].cancel());
        stream[0].start(client);
    }

    @Override
    public Uni<Void> cancel(EndpointAddress head, String requestId, int epoch) {
        return call(head, HttpMethod.DELETE, "/v1/attempts/" + requestId + "/" + epoch, null, (answer, status) -> {
            if (status != HTTP_NOT_FOUND) {
                requireOk(head, answer);
            }
            return null;
        });
    }

    @Override
    public Uni<Boolean> sendOrder(EndpointAddress engine, long fencingNumber, EngineOrder order) {
        return call(
                engine,
                HttpMethod.POST,
                "/v1/orders",
                EngineJson.encodeOrder(fencingNumber, order),
                (answer, status) -> {
                    if (status == HTTP_CONFLICT) {
                        return false;
                    }
                    requireOk(engine, answer);
                    return true;
                });
    }

    @Override
    public Uni<EngineLoad> fetchLoad(EndpointAddress endpoint) {
        return call(endpoint, HttpMethod.GET, "/v1/load", null, (answer, status) -> {
            requireOk(endpoint, answer);
            return EngineJson.decodeLoad(endpoint, answer.body(), clockMs.getAsLong());
        });
    }

    @Override
    public Uni<CacheEvents> fetchCacheEvents(EndpointAddress engine, long from) {
        return call(engine, HttpMethod.GET, "/v1/cache-events?from=" + from, null, (answer, status) -> {
            requireOk(engine, answer);
            return EngineJson.decodeCacheEvents(answer.body(), from);
        });
    }

    @Override
    public Uni<byte[]> exportKv(EndpointAddress engine, KvRange range) {
        return call(
                engine, HttpMethod.POST, "/v1/kv/export", EngineJson.encodeKvRange(range, null), (answer, status) -> {
                    requireOk(engine, answer);
                    return answer.body().getBytes();
                });
    }

    @Override
    public Uni<Integer> importKv(EndpointAddress engine, KvRange range, EndpointAddress source) {
        return call(
                engine, HttpMethod.POST, "/v1/kv/import", EngineJson.encodeKvRange(range, source), (answer, status) -> {
                    requireOk(engine, answer);
                    JsonNode node = EngineJson.JSON.readTree(answer.body().getBytes());
                    return EngineJson.requiredField(node, "tokens").asInt();
                });
    }

    private <T> Uni<T> call(
            EndpointAddress address, HttpMethod method, String uri, Buffer body, ResponseReader<T> reader) {
        return Uni.createFrom().emitter(emitter -> {
            MultiMap headers = MultiMap.caseInsensitiveMultiMap();
            if (uri.equals("/v1/orders") && !orderKey.isEmpty()) {
                headers.set("Authorization", "Bearer " + orderKey);
            }
            int maxBytes = uri.equals("/v1/kv/export") ? MAX_KV_BYTES : options.maxResponseBytes();
            HttpExchange.send(vertx, client, address, method, uri, headers, body, options.callTimeoutMs(), maxBytes)
                    .onFailure(emitter::fail)
                    .onSuccess(answer -> {
                        T result;
                        try {
                            result = reader.read(answer, answer.status());
                        } catch (EndpointException e) {
                            emitter.fail(e);
                            return;
                        } catch (IOException e) {
                            emitter.fail(new EndpointException(
                                    address.endpointId(),
                                    Reason.STAGE_DIED,
                                    Verdict.MAY_HAVE_RUN,
                                    "malformed answer to " + uri + ": " + e.getMessage(),
                                    e));
                            return;
                        }
                        emitter.complete(result);
                    });
        });
    }

    private static void requireOk(EndpointAddress address, HttpExchange.Response answer) {
        if (answer.status() != HTTP_OK) {
            throw new EndpointException(
                    address.endpointId(),
                    Reason.ENDPOINT_REFUSED,
                    answer.isNotRun() ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                    "status " + answer.status(),
                    null);
        }
    }

    /** Turns an answer into a result. */
    @FunctionalInterface
    private interface ResponseReader<T> {
        T read(HttpExchange.Response answer, int status) throws IOException;
    }
}
