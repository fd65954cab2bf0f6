package io.radishwinch.standins;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.standins.PlatformStore.StoredValue;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in for the platform that serves the object API with watches and the VM list.
 *
 * <p>Implements the platform protocol of docs/protocols.md and can inject delays, lost responses and outages.
 */
public final class PlatformStandIn extends StandInServer {
    /** Default number of changes that the history retains for watches. */
    public static final int DEFAULT_HISTORY_SIZE = 10_000;

    private static final int MAX_VALUE_BYTES = 1 << 20;
    private static final int MAX_KEY_CHARS = 512;
    private static final int MAX_PAGE_OBJECTS = 500;
    private static final int MAX_PAGE_BYTES = 8 << 20;
    private static final int MAX_WATCHES = 4_096;
    private static final long KEEP_ALIVE_INTERVAL_MS = 250;
    private static final String OBJECTS_PATH = "/v1/objects/";

    private final PlatformStore store;
    private final Map<HttpServerResponse, Watch> watches = new HashMap<>();
    private final Map<String, Vm> vms = new TreeMap<>();
    private List<Vm> visibleVms = List.of();
    private final RateLimit readLimit = new RateLimit();
    private final RateLimit writeLimit = new RateLimit();
    private long vmListDelayMs;
    private long callDelayMs;
    private boolean isDown;
    private PlatformStore.Copy copy;
    private int responsesToDrop;
    private long callCount;
    private long keepAliveTimer = -1;

    private PlatformStandIn(Vertx vertx, int history) {
        super(vertx);
        this.store = new PlatformStore(history);
    }

    /**
     * Starts a platform and waits until it listens.
     *
     * @param port TCP port, or 0 for an ephemeral port
     * @param history number of changes that the history retains for watches
     */
    public static PlatformStandIn start(Vertx vertx, int port, int history) {
        PlatformStandIn platform = new PlatformStandIn(vertx, history);
        platform.listen(port);
        platform.run(() ->
                platform.keepAliveTimer = vertx.setPeriodic(KEEP_ALIVE_INTERVAL_MS, id -> platform.sendKeepAlives()));
        return platform;
    }

    /** Writes an object unconditionally and returns its version. */
    public long putObject(String key, byte[] value) {
        return call(() -> notifyWatches(store.write(key, value.clone(), "")).version());
    }

    /** Returns the value of an object, or null if it does not exist. */
    public byte[] object(String key) {
        return call(() -> store.get(key) == null ? null : store.get(key).value().clone());
    }

    /** Returns the number of received calls, including refused ones. */
    public long callCount() {
        return call(() -> callCount);
    }

    /** Adds or replaces a VM; responses show the change after the VM list delay. */
    public void putVm(Vm vm) {
        run(() -> {
            vms.put(vm.id, vm);
            publishVms();
        });
    }

    /** Removes a VM; responses show the change after the VM list delay. */
    public void removeVm(String id) {
        run(() -> {
            vms.remove(id);
            publishVms();
        });
    }

    /** Sets the delay until responses show a change of the VM list, in ms. */
    public void setVmListDelayMs(long newVmListDelayMs) {
        run(() -> vmListDelayMs = newVmListDelayMs);
    }

    /** Sets whether the platform is down; it then closes the connection of each call without running it. */
    public void setDown(boolean newDown) {
        run(() -> {
            isDown = newDown;
            if (isDown) {
                watches.clear();
                dropConnections();
            }
        });
    }

    /** Sets the delay of each call, in ms. */
    public void setCallDelayMs(long newCallDelayMs) {
        run(() -> callDelayMs = newCallDelayMs);
    }

    /** Applies the given number of next writes and closes their connections without a response. */
    public void dropResponses(int count) {
        run(() -> responsesToDrop = count);
    }

    /** Sets the rates above which calls are refused with 429; 0 sets no limit. A watch counts as one read. */
    public void setRates(double readsPerS, double writesPerS) {
        run(() -> {
            readLimit.setRate(readsPerS);
            writeLimit.setRate(writesPerS);
        });
    }

    /** Drops the history of changes, so that watches from an earlier version are refused with 410. */
    public void dropHistory() {
        run(() -> store.trim(0));
    }

    /** Keeps a copy of all objects, which {@link #restoreCopy} returns to. */
    public void keepCopy() {
        run(() -> copy = store.copy());
    }

    /**
     * Returns to the last copy: what was written since is lost, its versions are given out again, and the era
     * increases. All connections are closed.
     *
     * @throws IllegalStateException if no copy was kept
     */
    public void restoreCopy() {
        run(() -> {
            if (copy == null) {
                throw new IllegalStateException("no copy was kept");
            }
            store.restore(copy);
            watches.clear();
            dropConnections();
        });
    }

    @Override
    void onStopped() {
        watches.clear();
    }

    @Override
    public void close() {
        run(() -> vertx.cancelTimer(keepAliveTimer));
        super.close();
    }

    private void publishVms() {
        List<Vm> snapshot = new ArrayList<>(vms.values());
        if (vmListDelayMs <= 0) {
            visibleVms = snapshot;
        } else {
            vertx.setTimer(vmListDelayMs, id -> visibleVms = snapshot);
        }
    }

    @Override
    void handle(HttpServerRequest request) {
        callCount++;
        if (isDown) {
            request.connection().close();
            return;
        }
        request.response().putHeader("X-Store-Era", Long.toString(store.era()));
        boolean isWrite = request.method() == HttpMethod.PUT || request.method() == HttpMethod.DELETE;
        if (!(isWrite ? writeLimit : readLimit).tryAcquire()) {
            request.response().putHeader("Retry-After", "1");
            respondNotRun(request.response(), 429);
            return;
        }
        if (callDelayMs > 0) {
            request.pause();
            vertx.setTimer(callDelayMs, id -> {
                request.resume();
                dispatch(request);
            });
        } else {
            dispatch(request);
        }
    }

    private void dispatch(HttpServerRequest request) {
        String path = request.path();
        HttpServerResponse response = request.response();
        HttpMethod method = request.method();
        try {
            if (method == HttpMethod.GET && path.equals("/v1/vms")) {
                listVms(response);
            } else if (method == HttpMethod.GET && path.equals("/v1/objects")) {
                listObjects(request);
            } else if (method == HttpMethod.GET && path.equals("/v1/watch")) {
                openWatch(request);
            } else if (!path.startsWith(OBJECTS_PATH) || path.length() - OBJECTS_PATH.length() > MAX_KEY_CHARS) {
                respondNotRun(response, 404);
            } else {
                handleObject(request, decodeKey(path.substring(OBJECTS_PATH.length())));
            }
        } catch (IllegalArgumentException e) {
            respondNotRun(response, 400);
        }
    }

    private void handleObject(HttpServerRequest request, String key) {
        HttpMethod method = request.method();
        if (method == HttpMethod.GET) {
            getObject(request.response(), key);
        } else if (method == HttpMethod.PUT) {
            long expected = expectedVersion(request);
            readBody(request, MAX_VALUE_BYTES, body -> writeObject(request, key, expected, body.getBytes()));
        } else if (method == HttpMethod.DELETE) {
            writeObject(request, key, expectedVersion(request), null);
        } else {
            respondNotRun(request.response(), 405);
        }
    }

    private void getObject(HttpServerResponse response, String key) {
        StoredValue object = store.get(key);
        if (object == null) {
            respondNotRun(response, 404);
            return;
        }
        response.putHeader("ETag", "\"" + object.version() + "\"")
                .putHeader("X-Nonce", object.nonce())
                .putHeader("Content-Type", "application/octet-stream")
                .end(Buffer.buffer(object.value()));
    }

    private void writeObject(HttpServerRequest request, String key, long expected, byte[] value) {
        HttpServerResponse response = request.response();
        StoredValue current = store.get(key);
        if (store.versionOf(key) != expected || (value == null && current == null)) {
            ObjectNode body = Json.object();
            body.set("current", current == null ? null : current.toJson());
            response.putHeader("X-Not-Run", "true");
            respondJson(response, 412, Json.write(body));
            return;
        }
        String nonce = request.getHeader("X-Nonce");
        StoredValue written = notifyWatches(store.write(key, value, nonce == null ? "" : nonce));
        if (responsesToDrop > 0) {
            responsesToDrop--;
            request.connection().close();
            return;
        }
        respondJson(response, 200, Json.write(Json.object().put("version", written.version())));
    }

    private void listObjects(HttpServerRequest request) {
        int limit = Math.min(MAX_PAGE_OBJECTS, Math.max(1, Integer.parseInt(request.getParam("limit", "100"))));
        List<StoredValue> page = store.list(request.getParam("prefix", ""), request.getParam("after", ""), limit);
        ObjectNode body = Json.object();
        ArrayNode objects = body.putArray("objects");
        long bytes = 0;
        for (StoredValue object : page) {
            bytes += object.value().length;
            if (objects.size() == limit || (bytes > MAX_PAGE_BYTES && !objects.isEmpty())) {
                break;
            }
            objects.add(object.toJson());
        }
        body.put("more", objects.size() < page.size());
        body.put("storeVersion", store.version());
        respondJson(request.response(), 200, Json.write(body));
    }

    private void listVms(HttpServerResponse response) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("vms");
        visibleVms.forEach(vm -> list.addPOJO(vm));
        respondJson(response, 200, Json.write(body));
    }

    private void openWatch(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        String prefix = request.getParam("prefix", "");
        long from = Long.parseLong(request.getParam("from", "0"));
        if (!store.isWatchable(from)) {
            respondNotRun(response, 410);
            return;
        }
        if (watches.size() >= MAX_WATCHES) {
            respondNotRun(response, 429);
            return;
        }
        response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
        response.closeHandler(ignored -> watches.remove(response));
        response.exceptionHandler(ignored -> watches.remove(response));
        watches.put(response, new Watch(prefix));
        response.write(EngineAttempts.KEEP_ALIVE_LINE);
        store.changesAfter(from, prefix).forEach(change -> response.write(Json.line(change.toJson())));
    }

    private StoredValue notifyWatches(StoredValue change) {
        for (Map.Entry<HttpServerResponse, Watch> watch : List.copyOf(watches.entrySet())) {
            if (!change.key().startsWith(watch.getValue().prefix)) {
                continue;
            }
            if (watch.getKey().writeQueueFull()) {
                // Ending the watch bounds the backlog of a client that does not read.
                watches.remove(watch.getKey());
                watch.getKey().end();
            } else {
                watch.getKey().write(Json.line(change.toJson()));
            }
        }
        return change;
    }

    private void sendKeepAlives() {
        if (isPaused()) {
            return;
        }
        for (HttpServerResponse watch : watches.keySet()) {
            if (!watch.writeQueueFull()) {
                watch.write(EngineAttempts.KEEP_ALIVE_LINE);
            }
        }
    }

    private static long expectedVersion(HttpServerRequest request) {
        String header = request.getHeader("If-Match");
        if (header == null || header.length() < 3 || !header.startsWith("\"") || !header.endsWith("\"")) {
            throw new IllegalArgumentException("header If-Match is missing or not a quoted version");
        }
        return Long.parseLong(header.substring(1, header.length() - 1));
    }

    private static String decodeKey(String path) {
        return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    /** An open watch on the keys with a prefix. */
    private record Watch(String prefix) {}

    /**
     * An entry of the VM list.
     *
     * @param id identifier of the VM
     * @param dataCentre data centre of the VM
     * @param host IP address
     * @param port TCP port of the process on the VM
     * @param role {@code router}, {@code engine} or {@code service}
     * @param service name of the plain service, or an empty string
     * @param leaving whether the VM is about to stop
     */
    public record Vm(
            String id, String dataCentre, String host, int port, String role, String service, boolean leaving) {
        /** Returns a copy that is marked as leaving. */
        public Vm asLeaving() {
            return new Vm(id, dataCentre, host, port, role, service, true);
        }
    }

    /** Token bucket with a capacity of one second at the current rate. */
    private static final class RateLimit {
        private double perS;
        private double tokens;
        private long lastNs;

        void setRate(double newPerS) {
            perS = newPerS;
            tokens = newPerS;
            lastNs = System.nanoTime();
        }

        boolean tryAcquire() {
            if (perS <= 0) {
                return true;
            }
            long nowNs = System.nanoTime();
            tokens = Math.min(perS, tokens + (nowNs - lastNs) * perS / 1e9);
            lastNs = nowNs;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }
}
