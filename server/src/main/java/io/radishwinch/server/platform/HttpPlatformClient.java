package io.radishwinch.server.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformException;
import io.radishwinch.cluster.platform.StoreEra;
import io.radishwinch.cluster.platform.StoreVersion;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Failures;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.EndpointException;
import io.radishwinch.server.engine.HttpExchange;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * HTTP client of the platform; see docs/protocols.md.
 *
 * <p>A write without a response fails with {@code EFFECT_UNKNOWN}. A call that was refused or not sent, and any failed
 * read, fails with {@code NO_EFFECT}.
 */
public final class HttpPlatformClient implements PlatformClient {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Header of all responses with the era of the store; without it, the era is 0. */
    static final String ERA_HEADER = "X-Store-Era";

    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_CONFLICT = 412;
    private static final int HTTP_SERVER_ERROR = 500;

    /** Maximum number of changes buffered for a slow subscriber of a watch; the watch fails if there are more. */
    private static final int WATCH_BUFFER = 1_024;

    /**
     * Maximum size of a line of a watch: base64 adds a third to the value, the rest is for key, nonce and field names.
     */
    private static final int MAX_LINE_BYTES = MAX_VALUE_BYTES / 3 * 4 + (8 << 10);

    /** Maximum size of a page; a page may contain several large values. */
    private static final int MAX_PAGE_BYTES = 16 << 20;

    private final Vertx vertx;
    private final HttpClient client;
    private final EndpointAddress platform;
    private final ClientOptions options;
    private final StoreEra storeEra = new StoreEra();

    /** Creates a client that opens a connection for each call, because a response does not name its call. */
    public HttpPlatformClient(Vertx vertx, String host, int port, ClientOptions options) {
        this.vertx = vertx;
        this.client = HttpExchange.newUnpooledClient(vertx, options);
        this.platform = new EndpointAddress("platform", host, port);
        this.options = options;
    }

    /** Closes all connections, including those of watches. */
    public Future<Void> close() {
        return client.close();
    }

    @Override
    public Uni<Optional<StoredObject>> get(String key) {
        return call(HttpMethod.GET, path(key), noHeaders(), null, false, (response, era) -> {
            if (response.status() == HTTP_NOT_FOUND) {
                return Optional.empty();
            }
            requireOk(response, false);
            if (!response.isDelimited()) {
                throw new IOException("the end of a value without length cannot be told from a broken connection");
            }
            String nonce = response.headers().get("X-Nonce");
            return Optional.of(new StoredObject(
                    key,
                    StoreVersion.of(era, parseETag(response.headers().get("ETag"))),
                    response.body().getBytes(),
                    nonce == null ? "" : nonce));
        });
    }

    @Override
    public Uni<Page> list(String prefix, String afterKey, int limit) {
        String uri = "/v1/objects?prefix=" + encode(prefix) + "&after=" + encode(afterKey) + "&limit=" + limit;
        return call(HttpMethod.GET, uri, noHeaders(), null, false, (response, era) -> {
            requireOk(response, false);
            JsonNode node = JSON.readTree(response.body().getBytes());
            List<StoredObject> objects = new ArrayList<>();
            for (JsonNode object : required(node, "objects")) {
                objects.add(PlatformJson.parseObject(object, era));
            }
            return new Page(
                    objects, required(node, "more").asBoolean(), PlatformJson.parseVersion(node, "storeVersion", era));
        });
    }

    @Override
    public Uni<List<Vm>> vms() {
        return call(HttpMethod.GET, "/v1/vms", noHeaders(), null, false, (response, era) -> {
            requireOk(response, false);
            List<Vm> vms = new ArrayList<>();
            for (JsonNode vm : required(JSON.readTree(response.body().getBytes()), "vms")) {
                vms.add(PlatformJson.parseVm(vm));
            }
            return vms;
        });
    }

    @Override
    public Uni<Void> ping(long timeoutMs) {
        return vms().replaceWithVoid();
    }

    @Override
    public Uni<PutResult> put(String key, long expectedVersion, byte[] value, String nonce) {
        if (value.length > MAX_VALUE_BYTES) {
            return Uni.createFrom()
                    .failure(new PlatformException(
                            PlatformException.Kind.NO_EFFECT,
                            "value of " + value.length + " bytes exceeds the size limit, key " + key,
                            null));
        }
        return write(HttpMethod.PUT, key, expectedVersion, Buffer.buffer(value), nonce);
    }

    @Override
    public Uni<PutResult> delete(String key, long expectedVersion, String nonce) {
        return write(HttpMethod.DELETE, key, expectedVersion, null, nonce);
    }

    private Uni<PutResult> write(HttpMethod method, String key, long expectedVersion, Buffer body, String nonce) {
        if (!storeEra.isCurrent(expectedVersion)) {
            // The restored store may have given the revision to an object that nobody here has read.
            return get(key).map(PutResult.Conflict::new);
        }
        MultiMap headers = noHeaders()
                .set("If-Match", "\"" + StoreVersion.revision(expectedVersion) + "\"")
                .set("X-Nonce", nonce);
        return call(method, path(key), headers, body, true, (response, era) -> {
            if (response.status() == HTTP_CONFLICT) {
                JsonNode current = JSON.readTree(response.body().getBytes()).get("current");
                if (current == null) {
                    throw new IOException("required field current is missing");
                }
                return new PutResult.Conflict(
                        current.isObject() ? Optional.of(PlatformJson.parseObject(current, era)) : Optional.empty());
            }
            requireOk(response, true);
            StoreEra.requireSame(expectedVersion, era);
            JsonNode node = JSON.readTree(response.body().getBytes());
            return new PutResult.Written(PlatformJson.parseVersion(node, "version", era));
        });
    }

    @Override
    public Multi<Change> watch(String prefix, long fromVersion) {
        String uri = "/v1/watch?prefix=" + encode(prefix) + "&from=" + StoreVersion.revision(fromVersion);
        return Multi.createFrom()
                .emitter(
                        emitter -> new HttpWatch(vertx, platform, uri, MAX_LINE_BYTES, options, emitter, header -> {
                                    long era = storeEra.observe(header);
                                    StoreEra.requireSame(fromVersion, era);
                                    return era;
                                })
                                .start(client),
                        WATCH_BUFFER);
    }

    private <T> Uni<T> call(
            HttpMethod method, String uri, MultiMap headers, Buffer body, boolean isWrite, ResponseReader<T> reader) {
        return Uni.createFrom().emitter(emitter -> HttpExchange.send(
                        vertx,
                        client,
                        platform,
                        method,
                        uri,
                        headers,
                        body,
                        options.callTimeoutMs(),
                        MAX_PAGE_BYTES,
                        HttpExchange.Attribution.NONE)
                .onFailure(cause -> emitter.fail(toPlatformException(cause, isWrite)))
                .onSuccess(response -> {
                    T result;
                    try {
                        // A refusal says nothing about the contents of the store and may come from a proxy.
                        boolean isRefusal = response.status() >= HTTP_SERVER_ERROR;
                        long era = isRefusal
                                ? storeEra.latest()
                                : storeEra.observe(response.headers().get(ERA_HEADER));
                        result = reader.read(response, era);
                    } catch (PlatformException e) {
                        emitter.fail(e);
                        return;
                    } catch (IOException | RuntimeException e) {
                        emitter.fail(new PlatformException(
                                failureKind(isWrite), "malformed response to " + method + " " + uri, e));
                        return;
                    }
                    emitter.complete(result);
                }));
    }

    private static PlatformException toPlatformException(Throwable cause, boolean isWrite) {
        boolean isNotSent = cause instanceof EndpointException failure && failure.verdict() == Verdict.NOT_RUN;
        return new PlatformException(
                isNotSent ? PlatformException.Kind.NO_EFFECT : failureKind(isWrite), Failures.describe(cause), cause);
    }

    private static void requireOk(HttpExchange.Response response, boolean isWrite) {
        if (response.status() == HTTP_OK) {
            return;
        }
        // A status below 500 means that the call had no effect; a server error only if the platform states so.
        boolean hadNoEffect = response.status() < HTTP_SERVER_ERROR || response.isNotRun();
        throw new PlatformException(
                hadNoEffect ? PlatformException.Kind.NO_EFFECT : failureKind(isWrite),
                "platform responded with status " + response.status(),
                null);
    }

    private static PlatformException.Kind failureKind(boolean isWrite) {
        return isWrite ? PlatformException.Kind.EFFECT_UNKNOWN : PlatformException.Kind.NO_EFFECT;
    }

    private static JsonNode required(JsonNode node, String field) throws IOException {
        return PlatformJson.required(node, field);
    }

    private static long parseETag(String etag) throws IOException {
        if (etag == null || etag.length() < 3 || !etag.startsWith("\"") || !etag.endsWith("\"")) {
            throw new IOException("header ETag is missing or malformed");
        }
        return Long.parseLong(etag.substring(1, etag.length() - 1));
    }

    private static MultiMap noHeaders() {
        return MultiMap.caseInsensitiveMultiMap();
    }

    private static String path(String key) {
        return "/v1/objects/" + encode(key).replace("%2F", "/");
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /** Converts a response of an era of the store to a result. */
    @FunctionalInterface
    private interface ResponseReader<T> {
        T read(HttpExchange.Response response, long era) throws IOException;
    }
}
