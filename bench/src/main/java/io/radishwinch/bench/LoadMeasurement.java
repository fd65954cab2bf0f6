package io.radishwinch.bench;

import io.radishwinch.server.engine.AttemptRequest;
import io.radishwinch.server.engine.AttemptRequest.StageTarget;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.EngineEvent;
import io.radishwinch.server.engine.HttpEngineClient;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongConsumer;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the throughput, the added latency and the CPU use of one router under load, in real time on loopback.
 *
 * <p>The load consists of streams at a fixed rate. Requests for one token, sent both through the router and directly to
 * the same chain, measure the latency. Stand-ins and callers share the JVM and its heap with the router.
 */
final class LoadMeasurement {
    private static final double STREAMS_PER_S = 260;
    private static final int STREAM_TOKENS = 80;
    private static final int LATENCY_REQUEST_INTERVAL_MS = 10;
    private static final long STARTUP_S = 5;
    private static final long WARM_UP_S = 20;
    private static final long MEASUREMENT_S = 20;
    private static final long MAX_LATENCY_US = 60_000_000;
    private static final long DEADLINE_MS = 20_000;
    private static final String PROMPT = "a prompt of ordinary length, as a member of the clinic network might send it";

    private final LoadTestFleet fleet;
    private final Vertx loadVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
    private final Vertx latencyVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HttpClient loadClient = loadVertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1_024));
    private final HttpClient latencyClient = latencyVertx.createHttpClient(new PoolOptions().setHttp1MaxSize(64));
    private final HttpEngineClient directClient =
            new HttpEngineClient(latencyVertx, ClientOptions.defaults(), System::currentTimeMillis, "");
    private final Histogram routedUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
    private final Histogram directUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
    private final LongAdder tokens = new LongAdder();
    private final LongAdder completedRequests = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final Set<Long> nonRouterThreadIds = new HashSet<>();
    private List<StageTarget> latencyStages;
    private long directRequests;
    private double pendingStreams;
    private long lastStreamNs;

    private LoadMeasurement() throws Exception {
        fleet = new LoadTestFleet();
    }

    static List<Figure> run() throws Exception {
        return new LoadMeasurement().measure();
    }

    private List<Figure> measure() throws Exception {
        latencyStages = fleet.latencyStages();
        // All threads of stand-ins and callers start before the router, so that later threads belong to the router.
        latencyVertx.setPeriodic(LATENCY_REQUEST_INTERVAL_MS, id -> measureDirect());
        startEventLoops(loadVertx, 2);
        startEventLoops(latencyVertx, 1);
        startEventLoops(fleet.vertx(), LoadTestFleet.ENGINE_EVENT_LOOPS);
        TimeUnit.SECONDS.sleep(STARTUP_S);
        for (long id : threadMxBean().getAllThreadIds()) {
            nonRouterThreadIds.add(id);
        }
        fleet.startRouter();
        TimeUnit.SECONDS.sleep(STARTUP_S);
        lastStreamNs = System.nanoTime();
        loadVertx.setPeriodic(1, id -> startStreams());
        latencyVertx.setPeriodic(LATENCY_REQUEST_INTERVAL_MS, id -> measureRouted());
        TimeUnit.SECONDS.sleep(WARM_UP_S);
        routedUs.reset();
        directUs.reset();
        long startNs = System.nanoTime();
        long startTokens = tokens.sum();
        long startRequestCount = completedRequests.sum();
        long startFailures = failures.sum();
        long startCpuNs = routerCpuNs();
        TimeUnit.SECONDS.sleep(MEASUREMENT_S);
        double elapsedS = (System.nanoTime() - startNs) / 1e9;
        double cores = (routerCpuNs() - startCpuNs) / 1e9 / elapsedS;
        double tokensPerS = (tokens.sum() - startTokens) / elapsedS;
        double requestsPerS = (completedRequests.sum() - startRequestCount) / elapsedS;
        return figures(tokensPerS, requestsPerS, cores, failures.sum() - startFailures);
    }

    private List<Figure> figures(double tokensPerS, double requestsPerS, double cores, long failed) {
        double directMedian = directUs.getValueAtPercentile(50) / 1e3;
        double directP99 = directUs.getValueAtPercentile(99) / 1e3;
        double routedMedian = routedUs.getValueAtPercentile(50) / 1e3;
        double routedP99 = routedUs.getValueAtPercentile(99) / 1e3;
        return List.of(
                Figure.of("load.requests", requestsPerS, Targets.LOAD_REQUESTS_PER_S, "requests/s"),
                Figure.of("load.tokens", tokensPerS, Targets.LOAD_TOKENS_PER_S, "tokens/s"),
                Figure.of("load.failed-requests", failed, Figure.Target.atMost(0), "requests"),
                Figure.of("load.latency.median vs direct", routedMedian, Figure.Target.NONE, "ms", directMedian),
                Figure.of("load.latency.p99 vs direct", routedP99, Figure.Target.NONE, "ms", directP99),
                Figure.of("load.latency.added-median", routedMedian - directMedian, Targets.ADDED_MEDIAN_MS, "ms"),
                Figure.of("load.latency.added-p99", routedP99 - directP99, Targets.ADDED_P99_MS, "ms"),
                Figure.of("load.cpu.router-cores", cores, Figure.Target.atMost(LoadTestFleet.TRAFFIC_THREADS), "cores"),
                Figure.of("load.cpu.tokens-per-core", tokensPerS / cores, Figure.Target.NONE, "tokens/s"),
                Figure.of(
                        "load.heap.limit-of-whole-process",
                        Runtime.getRuntime().maxMemory() / 1e6,
                        Figure.Target.atMost(256 * 1.048576),
                        "MB"));
    }

    /** Starts the threads of all event loops, which Vert.x otherwise starts with their first task. */
    private static void startEventLoops(Vertx vertx, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            // Vert.x assigns the next event loop to each new thread.
            Thread caller = new Thread(() -> vertx.getOrCreateContext().runOnContext(ignored -> {}));
            caller.start();
            caller.join();
        }
    }

    private static ThreadMXBean threadMxBean() {
        return ManagementFactory.getThreadMXBean();
    }

    /** Returns the CPU time of all threads that were started after the stand-ins and callers, in ns. */
    private long routerCpuNs() {
        long sumNs = 0;
        for (long id : threadMxBean().getAllThreadIds()) {
            sumNs += nonRouterThreadIds.contains(id)
                    ? 0
                    : Math.max(0, threadMxBean().getThreadCpuTime(id));
        }
        return sumNs;
    }

    private void startStreams() {
        long nowNs = System.nanoTime();
        pendingStreams += (nowNs - lastStreamNs) / 1e9 * STREAMS_PER_S;
        lastStreamNs = nowNs;
        for (; pendingStreams >= 1; pendingStreams--) {
            sendRequest(loadClient, LoadTestFleet.LOAD_MODEL, STREAM_TOKENS, true, ns -> tokens.add(STREAM_TOKENS));
        }
    }

    private void measureRouted() {
        sendRequest(latencyClient, LoadTestFleet.LATENCY_MODEL, 1, false, ns -> {
            routedUs.recordValue(Math.min(MAX_LATENCY_US, ns / 1_000));
            tokens.increment();
        });
    }

    private void sendRequest(HttpClient client, String model, int maxTokens, boolean stream, LongConsumer onCompleted) {
        long startNs = System.nanoTime();
        String body = "{\"model\":\"" + model + "\",\"prompt\":\"" + PROMPT + "\",\"max_tokens\":" + maxTokens
                + ",\"stream\":" + stream + "}";
        client.request(HttpMethod.POST, fleet.router.callerPort(), "127.0.0.1", "/v1/completions")
                .compose(request -> request.putHeader("Authorization", "Bearer " + LoadTestFleet.CALLER_KEY)
                        .putHeader("Content-Type", "application/json")
                        .send(Buffer.buffer(body)))
                .compose(response -> response.body().map(responseBody -> {
                    boolean isComplete = !stream || responseBody.toString().endsWith("data: [DONE]\n\n");
                    return response.statusCode() == 200 && isComplete;
                }))
                .onComplete(result -> {
                    if (result.succeeded() && result.result()) {
                        completedRequests.increment();
                        onCompleted.accept(System.nanoTime() - startNs);
                    } else {
                        failures.increment();
                    }
                });
    }

    private void measureDirect() {
        long startNs = System.nanoTime();
        AttemptRequest attempt = new AttemptRequest(
                "direct-" + directRequests++,
                1,
                LoadTestFleet.LATENCY_MODEL,
                latencyStages,
                PROMPT,
                16,
                List.of(),
                List.of(),
                1,
                0,
                System.currentTimeMillis() + DEADLINE_MS);
        directClient.open(attempt, event -> {
            if (event instanceof EngineEvent.Done) {
                directUs.recordValue(Math.min(MAX_LATENCY_US, (System.nanoTime() - startNs) / 1_000));
            } else if (event instanceof EngineEvent.Failed) {
                failures.increment();
            }
        });
    }
}
