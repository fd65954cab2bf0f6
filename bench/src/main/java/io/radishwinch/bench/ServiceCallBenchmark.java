package io.radishwinch.bench;

import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.HttpServiceClient;
import io.radishwinch.server.engine.ServiceClient;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the connections and the time per call of the service client over loopback.
 *
 * <p>Arguments: number of measured calls and number of concurrent calls. As many calls precede them as a warm-up. The
 * processor time contains that of the service.
 */
public final class ServiceCallBenchmark {
    private static final int MAX_CALLS = 200_000;
    private static final long DEADLINE_MS = 60_000;
    private static final Buffer RESPONSE_BODY = Buffer.buffer("x".repeat(1_000));
    private static final PrintStream OUT = System.out;

    private final Vertx clientVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx serviceVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HttpServiceClient client =
            new HttpServiceClient(clientVertx, ClientOptions.defaults(), System::currentTimeMillis);
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger startedCalls = new AtomicInteger();
    private final AtomicInteger endedCalls = new AtomicInteger();
    private final AtomicInteger failures = new AtomicInteger();
    private final Histogram callNs = new ConcurrentHistogram(3);
    private final EndpointAddress service;

    private ServiceCallBenchmark() throws Exception {
        HttpServer server = serviceVertx
                .createHttpServer()
                .connectionHandler(ignored -> connections.incrementAndGet())
                .requestHandler(request -> request.response().end(RESPONSE_BODY))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get();
        service = new EndpointAddress("service", "127.0.0.1", server.actualPort());
    }

    /** Runs the benchmark and prints its figures. */
    public static void main(String[] args) throws Exception {
        int calls = Math.min(MAX_CALLS, Integer.parseInt(args[0]));
        new ServiceCallBenchmark().run(calls, Integer.parseInt(args[1]));
    }

    private void run(int calls, int concurrency) throws Exception {
        runCalls(calls, concurrency);
        connections.set(0);
        failures.set(0);
        callNs.reset();
        long startCpuNs = processCpuNs();
        long startNs = System.nanoTime();
        runCalls(calls, concurrency);
        double elapsedS = (System.nanoTime() - startNs) / 1e9;
        double cpuUs = (processCpuNs() - startCpuNs) / 1e3 / calls;
        OUT.printf(
                "%d calls, %d at a time: %.3f connections per call, p50 %.0f us, p99 %.0f us, %.0f calls/s, "
                        + "%.0f us of processor time per call, %d failures%n",
                calls,
                concurrency,
                (double) connections.get() / calls,
                callNs.getValueAtPercentile(50) / 1e3,
                callNs.getValueAtPercentile(99) / 1e3,
                calls / elapsedS,
                cpuUs,
                failures.get());
        clientVertx.close().toCompletionStage().toCompletableFuture().get();
        serviceVertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private void runCalls(int calls, int concurrency) {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        startedCalls.set(0);
        endedCalls.set(0);
        clientVertx.getOrCreateContext().runOnContext(ignored -> {
            for (int i = 0; i < concurrency; i++) {
                startNext(calls, ended);
            }
        });
        ended.join();
    }

    private void startNext(int calls, CompletableFuture<Void> ended) {
        if (startedCalls.incrementAndGet() > calls) {
            return;
        }
        long startNs = System.nanoTime();
        client.call(new ServiceClient.Call(
                        service,
                        HttpMethod.GET,
                        "/lookup",
                        MultiMap.caseInsensitiveMultiMap(),
                        new ServiceClient.Body.Buffered(Buffer.buffer()),
                        System.currentTimeMillis() + DEADLINE_MS))
                .response()
                .onFailure(ignored -> {
                    failures.incrementAndGet();
                    endCall(startNs, calls, ended);
                })
                .onSuccess(response -> {
                    response.body().exceptionHandler(ignored -> failures.incrementAndGet());
                    response.body().endHandler(ignored -> endCall(startNs, calls, ended));
                    response.body().handler(ignored -> {});
                    response.body().resume();
                });
    }

    private void endCall(long startNs, int calls, CompletableFuture<Void> ended) {
        callNs.recordValue(System.nanoTime() - startNs);
        if (endedCalls.incrementAndGet() == calls) {
            ended.complete(null);
        } else {
            startNext(calls, ended);
        }
    }

    private static long processCpuNs() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}
