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

/** Stand-in of the platform: object API with watches, and the VM list; speaks the protocol of docs/protocols.md. */
public final class PlatformStandIn extends StandInServer {
    /** Changes that a watch may start behind. */
    public static final int DEFAULT_HISTORY = 10_000;

    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final int MAX_KEY_CHARS = 512;
    private static final int MAX_PAGE = 500;
    private static final int MAX_PAGE_BYTES = 8 << 20;
    private static final int MAX_WATCHES = 4_096;
    private static final long KEEP_ALIVE_MS = 250;
    private static final String OBJECTS = "/v1/objects/";

    private final PlatformStore store;
    private final Map<HttpServerResponse, Watch> watches = new HashMap<>();
    private final Map<String, Vm> vms = new TreeMap<>();
    private List<Vm> visibleVms = List.of();
    private final RateLimit reads = new RateLimit();
    private final RateLimit writes = new RateLimit();
    private long vmLagMs;
    private long slowMs;
    private boolean down;
    private int answersToLose;
    private long calls;
    private long keepAliveTimer = -1;

    private PlatformStandIn(Vertx vertx, int history) {
        super(vertx);
        this.store = new PlatformStore(history);
    }

    /**
     * Starts a platform.
     *
     * @param port TCP port, or 0 for any
     * @param history changes that a watch may start behind
     */
    public static PlatformStandIn start(Vertx vertx, int port, int history) {
        PlatformStandIn platform = new PlatformStandIn(vertx, history);
        platform.listen(port);
        platform.run(() -> platform.keepAliveTimer = vertx.setPeriodic(KEEP_ALIVE_MS, id -> platform.keepAlive()));
        return platform;
    }

    // ------------------------------------------------------------------ state

    /** Writes an object without a condition and returns its version. */
    public long putObject(String key, byte[] value) {
        return call(() -> publish(store.write(key, value.clone(), "")).version());
    }

    /** Returns the value of an object, or null. */
    public byte[] object(String key) {
        return call(() -> store.get(key) == null ? null : store.get(key).value().clone());
    }

    /** Returns the calls received, including refused ones. */
    public long calls() {
        return call(() -> calls);
    }

    /** Adds or replaces a VM; it appears in answers after the lag. */
    public void putVm(Vm vm) {
        run(() -> {
            vms.put(vm.id, vm);
            showVms();
        });
    }

    /** Removes a VM; it disappears from answers after the lag. */
    public void removeVm(String id) {
        run(() -> {
            vms.remove(id);
            showVms();
        });
    }

    // ------------------------------------------------------------------ faults

    /** Sets the time after which changes of the VM list appear, in ms. */
    public void setVmLagMs(long newVmLagMs) {
        run(() -> vmLagMs = newVmLagMs);
    }

    /** Closes the connection of each call without running it, or answers again. */
    public void setDown(boolean newDown) {
        run(() -> {
            down = newDown;
            if (down) {
                watches.clear();
                dropConnections();
            }
        });
    }

    /** Delays each call, in ms. */
    public void setSlowMs(long newSlowMs) {
        run(() -> slowMs = newSlowMs);
    }

    /** Closes the connection instead of answering, after each of the next writes took effect. */
    public void loseAnswers(int count) {
        run(() -> answersToLose = count);
    }

    /** Answers 429 beyond these rates; 0 sets no limit. A waiting watch counts as one read. */
    public void setRates(double readsPerS, double writesPerS) {
        run(() -> {
            reads.set(readsPerS);
            writes.set(writesPerS);
        });
    }

    /** Drops all history, so that watches from before now are refused with 410. */
    public void dropHistory() {
        run(() -> store.trim(0));
    }

    @Override
    void stopped() {
        watches.clear();
    }

    @Override
    public void close() {
        run(() -> vertx.cancelTimer(keepAliveTimer));
        super.close();
    }

    private void showVms() {
        List<Vm> now = new ArrayList<>(vms.values());
        if (vmLagMs <= 0) {
            visibleVms = now;
        } else {
            vertx.setTimer(vmLagMs, id -> visibleVms = now);
        }
    }

    // ------------------------------------------------------------------ requests

    @Override
    void handle(HttpServerRequest request) {
        calls++;
        if (down) {
            request.connection().close();
            return;
        }
        boolean write = request.method() == HttpMethod.PUT || request.method() == HttpMethod.DELETE;
        if (!(write ? writes : reads).take()) {
            request.response().putHeader("Retry-After", "1");
            notRun(request.response(), 429);
            return;
        }
        if (slowMs > 0) {
            request.pause();
            vertx.setTimer(slowMs, id -> {
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
                vmList(response);
            } else if (method == HttpMethod.GET && path.equals("/v1/objects")) {
                list(request);
            } else if (method == HttpMethod.GET && path.equals("/v1/watch")) {
                watch(request);
            } else if (!path.startsWith(OBJECTS) || path.length() - OBJECTS.length() > MAX_KEY_CHARS) {
                notRun(response, 404);
            } else {
                object(request, decode(path.substring(OBJECTS.length())));
            }
        } catch (IllegalArgumentException e) {
            notRun(response, 400);
        }
    }

    private void object(HttpServerRequest request, String key) {
        HttpMethod method = request.method();
        if (method == HttpMethod.GET) {
            get(request.response(), key);
        } else if (method == HttpMethod.PUT) {
            long expected = expectedVersion(request);
            readBody(request, MAX_VALUE_BYTES, body -> write(request, key, expected, body.getBytes()));
        } else if (method == HttpMethod.DELETE) {
            write(request, key, expectedVersion(request), null);
        } else {
            notRun(request.response(), 405);
        }
    }

    private void get(HttpServerResponse response, String key) {
        StoredValue object = store.get(key);
        if (object == null) {
            notRun(response, 404);
            return;
        }
        response.putHeader("ETag", "\"" + object.version() + "\"")
                .putHeader("X-Nonce", object.nonce())
                .putHeader("Content-Type", "application/octet-stream")
                .end(Buffer.buffer(object.value()));
    }

    private void write(HttpServerRequest request, String key, long expected, byte[] value) {
        HttpServerResponse response = request.response();
        StoredValue current = store.get(key);
        if (store.versionOf(key) != expected || (value == null && current == null)) {
            ObjectNode body = Json.object();
            body.set("current", current == null ? null : current.json());
            response.putHeader("X-Not-Run", "true");
            json(response, 412, Json.write(body));
            return;
        }
        String nonce = request.getHeader("X-Nonce");
        StoredValue written = publish(store.write(key, value, nonce == null ? "" : nonce));
        if (answersToLose > 0) {
            answersToLose--;
            request.connection().close();
            return;
        }
        json(response, 200, Json.write(Json.object().put("version", written.version())));
    }

    private void list(HttpServerRequest request) {
        int limit = Math.min(MAX_PAGE, Math.max(1, Integer.parseInt(request.getParam("limit", "100"))));
        List<StoredValue> page = store.list(request.getParam("prefix", ""), request.getParam("after", ""), limit);
        ObjectNode body = Json.object();
        ArrayNode objects = body.putArray("objects");
        long bytes = 0;
        for (StoredValue object : page) {
            bytes += object.value().length;
            if (objects.size() == limit || (bytes > MAX_PAGE_BYTES && !objects.isEmpty())) {
                break;
            }
            objects.add(object.json());
        }
        body.put("more", objects.size() < page.size());
        body.put("storeVersion", store.version());
        json(request.response(), 200, Json.write(body));
    }

    private void vmList(HttpServerResponse response) {
        ObjectNode body = Json.object();
        ArrayNode list = body.putArray("vms");
        visibleVms.forEach(vm -> list.addPOJO(vm));
        json(response, 200, Json.write(body));
    }

    // ------------------------------------------------------------------ watches

    private void watch(HttpServerRequest request) {
        HttpServerResponse response = request.response();
        String prefix = request.getParam("prefix", "");
        long from = Long.parseLong(request.getParam("from", "0"));
        if (!store.isWatchable(from)) {
            notRun(response, 410);
            return;
        }
        if (watches.size() >= MAX_WATCHES) {
            notRun(response, 429);
            return;
        }
        response.setChunked(true).putHeader("Content-Type", "application/x-ndjson");
        response.closeHandler(ignored -> watches.remove(response));
        response.exceptionHandler(ignored -> watches.remove(response));
        watches.put(response, new Watch(prefix));
        response.write(EngineAttempts.KEEP_ALIVE);
        store.changesAfter(from, prefix).forEach(change -> response.write(Json.line(change.json())));
    }

    private StoredValue publish(StoredValue change) {
        for (Map.Entry<HttpServerResponse, Watch> watch : List.copyOf(watches.entrySet())) {
            if (!change.key().startsWith(watch.getValue().prefix)) {
                continue;
            }
            if (watch.getKey().writeQueueFull()) {
                // The backlog of a watcher that does not read is bounded by ending its watch.
                watches.remove(watch.getKey());
                watch.getKey().end();
            } else {
                watch.getKey().write(Json.line(change.json()));
            }
        }
        return change;
    }

    private void keepAlive() {
        if (isPaused()) {
            return;
        }
        for (HttpServerResponse watch : watches.keySet()) {
            if (!watch.writeQueueFull()) {
                watch.write(EngineAttempts.KEEP_ALIVE);
            }
        }
    }

    // ------------------------------------------------------------------ helpers

    private static long expectedVersion(HttpServerRequest request) {
        String header = request.getHeader("If-Match");
        if (header == null || header.length() < 3 || !header.startsWith("\"") || !header.endsWith("\"")) {
            throw new IllegalArgumentException("header If-Match is missing or malformed");
        }
        return Long.parseLong(header.substring(1, header.length() - 1));
    }

    private static String decode(String path) {
        return URLDecoder.decode(path.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    /** A waiting watch. */
    private record Watch(String prefix) {}

    /**
     * One VM.
     *
     * @param id identifier
     * @param dataCentre data centre
     * @param host IP address
     * @param port port of the process on it
     * @param role {@code router}, {@code engine} or {@code service}
     * @param service name of the plain service, or an empty string
     * @param leaving whether the VM is about to stop
     */
    public record Vm(
            String id, String dataCentre, String host, int port, String role, String service, boolean leaving) {
        /** Returns a copy that is about to stop. */
        public Vm asLeaving() {
            return new Vm(id, dataCentre, host, port, role, service, true);
        }
    }

    /** Token bucket that holds one second's worth of calls. */
    private static final class RateLimit {
        private double perS;
        private double tokens;
        private long lastNs;

        void set(double newPerS) {
            perS = newPerS;
            tokens = newPerS;
            lastNs = System.nanoTime();
        }

        boolean take() {
            if (perS <= 0) {
                return true;
            }
            long now = System.nanoTime();
            tokens = Math.min(perS, tokens + (now - lastNs) * perS / 1e9);
            lastNs = now;
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        }
    }
}
