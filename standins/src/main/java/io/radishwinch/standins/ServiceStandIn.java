package io.radishwinch.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A stand-in for a plain service that counts the executions of charges.
 *
 * <p>{@code POST /charges} counts executions by idempotency key, {@code GET /charges/<key>} returns the count,
 * {@code POST /echo} streams the request body back, and any other path returns a description of the call.
 */
public final class ServiceStandIn extends StandInServer {
    private static final int MAX_KEYS = 100_000;
    private static final long REPORT_INTERVAL_MS = 100;

    private final String id;
    private final String service;
    private final int slots;
    private final Map<String, Integer> charges = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_KEYS;
        }
    };
    private int running;
    private int reportedRunning;
    private long reportedAtMs;
    private int callsToDrop;
    private int responsesToDrop;
    private int callsToRefuse;
    private long callDelayMs;
    private boolean isLeaving;
    private long reportTimer = -1;

    private ServiceStandIn(Vertx vertx, String id, String service, int slots) {
        super(vertx);
        this.id = id;
        this.service = service;
        this.slots = slots;
    }

    /**
     * Starts a service and waits until it listens.
     *
     * @param id endpoint identifier
     * @param service name of the service
     * @param port TCP port, or 0 for an ephemeral port
     * @param slots maximum number of concurrent calls; further calls are refused with 503
     */
    public static ServiceStandIn start(Vertx vertx, String id, String service, int port, int slots) {
        ServiceStandIn standIn = new ServiceStandIn(vertx, id, service, slots);
        standIn.listen(port);
        standIn.run(() -> {
            standIn.refreshLoadReport();
            standIn.reportTimer = vertx.setPeriodic(REPORT_INTERVAL_MS, timer -> standIn.refreshLoadReport());
        });
        return standIn;
    }

    /** Returns the endpoint identifier. */
    public String id() {
        return id;
    }

    /** Returns the name of the service. */
    public String service() {
        return service;
    }

    /** Returns the number of executions of the charge with the given idempotency key. */
    public int executions(String key) {
        return call(() -> charges.getOrDefault(key, 0));
    }

    /** Returns the number of executions of each charge by idempotency key. */
    public Map<String, Integer> executions() {
        return call(() -> Map.copyOf(charges));
    }

    /** Closes the connections of the given number of next calls without running them. */
    public void dropCalls(int count) {
        run(() -> callsToDrop = count);
    }

    /** Runs the given number of next calls and closes their connections without a response. */
    public void dropResponses(int count) {
        run(() -> responsesToDrop = count);
    }

    /** Refuses the given number of next calls with 503, marked as not run. */
    public void refuseCalls(int count) {
        run(() -> callsToRefuse = count);
    }

    /** Sets the delay of each call, in ms. */
    public void setCallDelayMs(long newCallDelayMs) {
        run(() -> callDelayMs = newCallDelayMs);
    }

    /** Sets whether the service refuses new calls with 503 and marks itself as leaving in its load reports. */
    public void setLeaving(boolean newLeaving) {
        run(() -> isLeaving = newLeaving);
    }

    @Override
    public void close() {
        run(() -> vertx.cancelTimer(reportTimer));
        super.close();
    }

    @Override
    void onStopped() {
        running = 0;
    }

    private void refreshLoadReport() {
        reportedRunning = running;
        reportedAtMs = System.currentTimeMillis();
    }

    @Override
    void handle(HttpServerRequest request) {
        if (request.method() == HttpMethod.GET && request.path().equals("/v1/load")) {
            respondJson(request.response(), 200, loadReportBody());
        } else if (callsToDrop > 0) {
            callsToDrop--;
            request.connection().close();
        } else if (callsToRefuse > 0 || isLeaving || running >= slots) {
            callsToRefuse = Math.max(0, callsToRefuse - 1);
            respondNotRun(request.response(), 503);
        } else {
            running++;
            boolean[] isEnded = new boolean[1];
            Runnable onEnded = () -> {
                if (!isEnded[0]) {
                    isEnded[0] = true;
                    running = Math.max(0, running - 1);
                }
            };
            request.response().endHandler(ignored -> onEnded.run());
            request.response().closeHandler(ignored -> onEnded.run());
            if (callDelayMs > 0) {
                request.pause();
                vertx.setTimer(callDelayMs, timer -> {
                    request.resume();
                    serve(request);
                });
            } else {
                serve(request);
            }
        }
    }

    private void serve(HttpServerRequest request) {
        if (request.method() == HttpMethod.POST && request.path().equals("/echo")) {
            echo(request);
        } else {
            readBody(request, MAX_BODY_BYTES, body -> respond(request, body));
        }
    }

    private void respond(HttpServerRequest request, Buffer body) {
        String path = request.path();
        ObjectNode responseBody = Json.object().put("service", service).put("endpoint", id);
        if (request.method() == HttpMethod.POST && path.equals("/charges")) {
            String key = request.getHeader("Idempotency-Key");
            key = key == null ? body.toString() : key;
            responseBody.put("charged", key).put("executions", charges.merge(key, 1, Integer::sum));
        } else if (request.method() == HttpMethod.GET && path.startsWith("/charges/")) {
            responseBody.put("executions", charges.getOrDefault(path.substring("/charges/".length()), 0));
        } else {
            responseBody
                    .put("method", request.method().name())
                    .put("path", path)
                    .put("bytes", body.length());
        }
        if (responsesToDrop > 0) {
            responsesToDrop--;
            request.connection().close();
            return;
        }
        respondJson(request.response(), 200, Json.write(responseBody));
    }

    private static void echo(HttpServerRequest request) {
        HttpServerResponse response = request.response().setChunked(true);
        request.handler(chunk -> {
            response.write(chunk);
            if (response.writeQueueFull()) {
                request.pause();
                response.drainHandler(ignored -> request.resume());
            }
        });
        request.endHandler(ignored -> response.end());
    }

    private Buffer loadReportBody() {
        ObjectNode node = Json.object();
        node.put("endpoint", id);
        node.put("acceleratorKind", "none");
        node.put("slots", slots);
        node.put("running", reportedRunning);
        node.put("queued", 0);
        node.put("kvFreeBytes", 0);
        node.put("layerTimeUs", 1_000.0 * callDelayMs);
        node.putArray("holdings")
                .addObject()
                .put("model", "service:" + service)
                .put("first", 0)
                .put("end", 1);
        node.putArray("links");
        node.put("honoursFencing", false);
        node.put("checksOrders", false);
        node.put("leaving", isLeaving);
        node.put("ageMs", System.currentTimeMillis() - reportedAtMs);
        return Json.write(node);
    }
}
