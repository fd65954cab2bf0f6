package io.radishwinch.soak;

import io.radishwinch.soak.check.AnswerCheck;
import io.radishwinch.soak.check.AttemptLimitCheck;
import io.radishwinch.soak.check.PromiseCheck;
import io.radishwinch.soak.check.ProperRequestCheck;
import io.radishwinch.soak.check.RefusalCheck;
import io.radishwinch.soak.check.StreamOrderCheck;
import io.radishwinch.soak.check.Violation;
import io.radishwinch.soak.scenario.ChangeKind;
import io.radishwinch.soak.scenario.Scenario;
import io.radishwinch.soak.scenario.Scenario.RequestClass;
import io.radishwinch.soak.scenario.Scenario.Restarts;
import io.radishwinch.soak.scenario.Scenario.Silences;
import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.Vocabulary;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One play of a scenario with one seed.
 *
 * <p>The seed decides which endpoint is silent when, which attempts are refused and which router and key a caller uses.
 * Routers are real processes, so that two plays of one seed are similar and not equal.
 */
public final class SoakRun {
    /** Largest number of violations whose timelines are collected. */
    private static final int MAX_TIMELINES = 20;

    /** Time for which callers go on after the routers of a restart listen, at least, in ms. */
    private static final int CALLS_AFTER_RESTART_MS = 1_000;

    private final Scenario scenario;
    private final long seed;
    private final long lengthMs;
    private final Path directory;
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final List<Finding> findings = new ArrayList<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final ExecutorService tasks = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    });
    private SoakRecord record;
    private Deployment deployment;
    private CallerClient client;
    private volatile long endAtMs;
    private volatile boolean isRestarting;

    /**
     * Creates a run.
     *
     * @param lengthMs time for which callers begin requests, in ms
     * @param directory directory for logs and the record, which is created
     */
    public SoakRun(Scenario scenario, long seed, long lengthMs, Path directory) {
        this.scenario = scenario;
        this.seed = seed;
        this.lengthMs = lengthMs;
        this.directory = directory;
    }

    /**
     * A broken promise with the timeline of its request.
     *
     * @param violation broken promise
     * @param timeline lines in the order of time; empty for violations after the twentieth
     */
    public record Finding(Violation violation, List<String> timeline) {}

    /**
     * Result of a run.
     *
     * @param outcomes number of requests by outcome
     * @param incidents number of silences that began, of changes of the configuration and of killed routers
     * @param findings broken promises
     * @param routerErrors lines on errors in the logs of the routers, which a run without a fault does not have
     */
    public record Result(
            Map<String, Integer> outcomes, int incidents, List<Finding> findings, List<String> routerErrors) {}

    /** Returns the checks of a scenario. */
    static List<PromiseCheck> checks(Scenario scenario) {
        return List.of(
                new AnswerCheck(),
                new ProperRequestCheck(),
                new AttemptLimitCheck(scenario.routers().attempts()),
                new StreamOrderCheck(Vocabulary::token),
                new RefusalCheck());
    }

    /**
     * Plays the scenario and checks what was seen.
     *
     * @throws IOException if a process cannot be started, does not serve, or a change of the configuration fails
     */
    public Result play() throws IOException, InterruptedException {
        Files.createDirectories(directory);
        try (SoakRecord openedRecord = new SoakRecord(directory.resolve("record.log"));
                CallerClient openedClient = new CallerClient();
                Deployment started = new Deployment(scenario)) {
            record = openedRecord;
            client = openedClient;
            deployment = started;
            deployment.start(record::add, client, directory);
            disturbAndCall();
            findBrokenPromises();
        } finally {
            tasks.shutdownNow();
        }
        int incidents = (int) record.observations().incidents().stream()
                .filter(incident -> !incident.text().endsWith(" continues")
                        && !incident.text().endsWith(" listens again"))
                .count();
        // Read when the routers have ended, so that the errors of their stop are in it.
        return new Result(outcomes, incidents, findings, deployment.errorLines());
    }

    private void disturbAndCall() throws IOException, InterruptedException {
        endAtMs = System.currentTimeMillis() + lengthMs;
        List<Future<?>> disturbances = new ArrayList<>();
        for (EngineStandIn engine : deployment.engines()) {
            engine.refuseShare(scenario.pool().refusedShare(), seedOf("refusals " + engine.id()));
            if (scenario.pool().silences().longestMs() > 0) {
                disturbances.add(tasks.submit(() -> alternate(engine)));
            }
        }
        if (!scenario.changes().kinds().isEmpty()) {
            disturbances.add(tasks.submit(this::changeConfiguration));
        }
        if (!scenario.routers().restarts().kinds().isEmpty()) {
            disturbances.add(tasks.submit(this::restartRouters));
        }
        List<Future<?>> calls = new ArrayList<>();
        for (RequestClass requests : scenario.classes()) {
            for (int i = 1; i <= requests.callers(); i++) {
                Random random = new Random(seedOf("caller " + requests.name() + i));
                calls.add(tasks.submit(() -> callInTurn(requests, random)));
            }
            if (requests.requestsPerS() > 0) {
                calls.add(tasks.submit(() -> callAtRate(requests)));
            }
        }
        await(calls);
        await(disturbances);
    }

    private static void await(List<Future<?>> futures) throws IOException, InterruptedException {
        for (Future<?> future : futures) {
            try {
                future.get();
            } catch (ExecutionException e) {
                throw new IOException("the soak failed: " + e.getCause().getMessage(), e.getCause());
            }
        }
    }

    private long seedOf(String part) {
        return 31 * seed + part.hashCode();
    }

    private boolean isOver() {
        return !isRestarting && System.currentTimeMillis() >= endAtMs;
    }

    private Void alternate(EngineStandIn engine) throws InterruptedException {
        Random random = new Random(seedOf("silences " + engine.id()));
        Silences silences = scenario.pool().silences();
        while (true) {
            Thread.sleep(random.nextInt(silences.intervalMs()) + 1);
            if (isOver()) {
                return null;
            }
            record.add(engine.id() + " is silent");
            engine.setPaused(true);
            Thread.sleep(silences.shortestMs() + random.nextInt(silences.longestMs() - silences.shortestMs() + 1));
            engine.setPaused(false);
            record.add(engine.id() + " continues");
        }
    }

    private Void changeConfiguration() throws IOException, InterruptedException {
        List<ChangeKind> kinds = scenario.changes().kinds();
        for (int i = 0; ; i++) {
            Thread.sleep(scenario.changes().intervalMs());
            if (isOver()) {
                return null;
            }
            ChangeKind kind = kinds.get(i % kinds.size());
            deployment.change(kind);
            record.add("configuration changed: " + kind.text());
        }
    }

    private Void restartRouters() throws IOException, InterruptedException {
        List<RouterProcess> routers = deployment.routers();
        Restarts restarts = scenario.routers().restarts();
        long lastKillAtMs = endAtMs;
        int next = 0;
        for (int i = 0; ; i++) {
            Thread.sleep(restarts.intervalMs());
            if (System.currentTimeMillis() >= lastKillAtMs) {
                return null;
            }
            isRestarting = true;
            try {
                switch (restarts.kinds().get(i % restarts.kinds().size())) {
                    case IN_TURN -> deployment.restart(List.of(routers.get(next++ % routers.size())), record);
                    case TOGETHER -> deployment.restart(routers, record);
                }
                endAtMs = Math.max(endAtMs, System.currentTimeMillis() + CALLS_AFTER_RESTART_MS);
            } finally {
                isRestarting = false;
            }
        }
    }

    private Void callInTurn(RequestClass requests, Random random) throws InterruptedException {
        while (!isOver()) {
            call(requests, random);
            Thread.sleep(random.nextInt(requests.pauseMs() + 1));
        }
        return null;
    }

    private Void callAtRate(RequestClass requests) throws IOException, InterruptedException {
        Random random = new Random(seedOf("rate " + requests.name()));
        List<Future<?>> calls = new ArrayList<>();
        while (true) {
            // Exponential intervals make a Poisson process.
            Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * 1_000 / requests.requestsPerS()));
            if (isOver()) {
                await(calls);
                return null;
            }
            Random callRandom = new Random(random.nextLong());
            calls.add(tasks.submit(() -> {
                call(requests, callRandom);
                return null;
            }));
        }
    }

    private void call(RequestClass requests, Random random) throws InterruptedException {
        RouterProcess router =
                deployment.routers().get(random.nextInt(deployment.routers().size()));
        Account account = new Account(requests, 1 + random.nextInt(requests.accounts()));
        String key = account.key(1 + random.nextInt(requests.keys()));
        String name = requests.name() + "-" + seed + "-" + requestCount.incrementAndGet();
        record.add(client.send(name, account, key, router));
    }

    private void findBrokenPromises() throws IOException, InterruptedException {
        Observations observations = record.observations();
        observations.requests().forEach(request -> outcomes.merge(request.outcome(), 1, Integer::sum));
        for (PromiseCheck check : checks(scenario)) {
            for (Violation violation : check.violations(observations)) {
                List<String> timeline = findings.size() >= MAX_TIMELINES
                        ? List.of()
                        : Timeline.of(violation.request(), observations, deployment.routerEntries(violation.request()));
                findings.add(new Finding(violation, timeline));
            }
        }
    }
}
