package io.radishwinch.bench;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.server.engine.AttemptRequest;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.EngineEvent;
import io.radishwinch.server.engine.HttpEngineClient;
import io.radishwinch.standins.EngineConfig;
import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.ExecutionLedger;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/**
 * Measures the throughput of the engine client and of the engine stand-ins without a router, in tokens/s per core.
 *
 * <p>Arguments: stages per chain, concurrent streams, tokens per completion, seconds, and {@code handler} or
 * {@code multi} for the API of the client. Layers take no time, so the figures show the cost of the code.
 */
public final class DirectCallBenchmark {
    private static final int CLIENT_EVENT_LOOPS = 2;
    private static final long DEADLINE_MS = 60_000;
    private static final int MAX_SECONDS = 60;
    private static final PrintStream OUT = System.out;

    private final Vertx clientVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(CLIENT_EVENT_LOOPS));
    private final Vertx engineVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
    private final HttpEngineClient client =
            new HttpEngineClient(clientVertx, ClientOptions.defaults(), System::currentTimeMillis, "");
    private final List<AttemptRequest.StageTarget> stages = new ArrayList<>();
    private final LongAdder tokens = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final AtomicInteger requests = new AtomicInteger();
    private final int tokensPerCompletion;
    private final boolean usesMulti;
    private volatile boolean isStopping;

    private DirectCallBenchmark(int stageCount, int streams, int tokensPerCompletion, boolean usesMulti) {
        this.tokensPerCompletion = tokensPerCompletion;
        this.usesMulti = usesMulti;
        ExecutionLedger ledger = new ExecutionLedger();
        int layersPerStage = StandInFleet.MODEL_LAYERS / stageCount;
        for (int i = 0; i < stageCount; i++) {
            LayerRange layers = new LayerRange(i * layersPerStage, (i + 1) * layersPerStage);
            EngineStandIn engine = EngineStandIn.start(
                    engineVertx, EngineConfig.of("e" + i, "large", 0, layers).withSlots(streams), ledger);
            stages.add(new AttemptRequest.StageTarget(
                    new EndpointAddress(engine.id(), "127.0.0.1", engine.port()), layers, List.of()));
        }
    }

    /** Runs the benchmark and prints its figures. */
    public static void main(String[] args) throws Exception {
        int stageCount = Integer.parseInt(args[0]);
        int streams = Integer.parseInt(args[1]);
        int seconds = Math.min(MAX_SECONDS, Integer.parseInt(args[3]));
        DirectCallBenchmark benchmark =
                new DirectCallBenchmark(stageCount, streams, Integer.parseInt(args[2]), args[4].equals("multi"));
        benchmark.run(streams, seconds);
    }

    private void run(int streams, int seconds) throws Exception {
        List<Context> loops = new ArrayList<>();
        List<Long> clientThreads = new ArrayList<>();
        for (int i = 0; i < CLIENT_EVENT_LOOPS; i++) {
            CompletableFuture<Long> thread = new CompletableFuture<>();
            Context loop = newEventLoop();
            loop.runOnContext(ignored -> thread.complete(Thread.currentThread().getId()));
            loops.add(loop);
            clientThreads.add(thread.get());
        }
        for (int i = 0; i < streams; i++) {
            loops.get(i % CLIENT_EVENT_LOOPS).runOnContext(ignored -> startNext());
        }
        TimeUnit.SECONDS.sleep(seconds);
        long startNs = System.nanoTime();
        long startTokens = tokens.sum();
        long startRequests = requests.get();
        long startClientNs = cpuNs(clientThreads);
        long startCpuNs = processCpuNs();
        TimeUnit.SECONDS.sleep(seconds);
        double elapsedS = (System.nanoTime() - startNs) / 1e9;
        double clientCores = (cpuNs(clientThreads) - startClientNs) / 1e9 / elapsedS;
        double allCores = (processCpuNs() - startCpuNs) / 1e9 / elapsedS;
        double tokensPerS = (tokens.sum() - startTokens) / elapsedS;
        isStopping = true;
        OUT.printf(
                "stages %d, %d streams, %d tokens, %s: %.0f tokens/s, %.0f requests/s, %d failures%n",
                stages.size(),
                streams,
                tokensPerCompletion,
                usesMulti ? "multi" : "handler",
                tokensPerS,
                (requests.get() - startRequests) / elapsedS,
                failures.sum());
        OUT.printf(
                "client %.2f cores, %.0f tokens/s per core; other threads %.2f cores, %.0f tokens/s per core%n",
                clientCores, tokensPerS / clientCores, allCores - clientCores, tokensPerS / (allCores - clientCores));
        clientVertx.close().toCompletionStage().toCompletableFuture().get();
        engineVertx.close().toCompletionStage().toCompletableFuture().get();
    }

    private Context newEventLoop() throws Exception {
        CompletableFuture<Context> context = new CompletableFuture<>();
        // Vert.x assigns the next event loop to each new thread.
        Thread thread = new Thread(() -> context.complete(clientVertx.getOrCreateContext()));
        thread.start();
        return context.get();
    }

    private void startNext() {
        if (isStopping) {
            return;
        }
        AttemptRequest attempt = new AttemptRequest(
                "r" + requests.incrementAndGet(),
                1,
                StandInFleet.MODEL,
                stages,
                "a prompt of ordinary length, as a member of the clinic network might send it",
                16,
                List.of(),
                List.of(),
                tokensPerCompletion,
                0,
                System.currentTimeMillis() + DEADLINE_MS);
        if (usesMulti) {
            client.stream(attempt).subscribe().with(this::handleEvent);
        } else {
            client.open(attempt, this::handleEvent);
        }
    }

    private void handleEvent(EngineEvent event) {
        if (event instanceof EngineEvent.Token) {
            tokens.increment();
        } else if (event instanceof EngineEvent.Done) {
            startNext();
        } else if (event instanceof EngineEvent.Failed) {
            failures.increment();
            startNext();
        }
    }

    private static long cpuNs(List<Long> threadIds) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return threadIds.stream().mapToLong(threads::getThreadCpuTime).sum();
    }

    private static long processCpuNs() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getProcessCpuTime();
    }
}
