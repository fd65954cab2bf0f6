package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of the four routers of a zone are stopped with SIGTERM in turn and started again. Fewer than half of the zone's
 * nodes are then in rotation, so the platform uses all of them. No request that a router has passed on to a worker may
 * end without an answer.
 */
final class PlannedStop extends Case {
    private static final int ROUTERS = 4;
    private static final int STOPPED = 3;
    private static final long GAP_MS = 1_000;
    private static final long GRACE_MS = 8_000;
    private static final int ROUNDS = 7;
    private static final long ROUND_MS = 14_000;
    private static final int WORK_MS = 85;
    private static final int REQUESTS_PER_S = 20;
    private static final long READINESS_INTERVAL_MS = 1_000;

    private record Outcome(String id, String router, long sentAtMs, int status, String failure) {}

    private final Map<String, Long> runs = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        main(new PlannedStop(), args[0]);
    }

    /** The platform's balancer: two misses take a node out of rotation, and one answer of 200 brings it back. */
    private static final class Balancer {
        private final List<Router> routers;
        private final Map<Router, Integer> misses = new ConcurrentHashMap<>();
        private final AtomicInteger next = new AtomicInteger();

        Balancer(List<Router> routers) {
            this.routers = routers;
            for (Router router : routers) {
                Threads.start("readiness", () -> {
                    while (true) {
                        boolean isReady = router.isReady();
                        misses.merge(router, isReady ? 0 : 1, (count, miss) -> isReady ? 0 : count + miss);
                        Thread.sleep(READINESS_INTERVAL_MS);
                    }
                });
            }
        }

        Router choose() {
            List<Router> inRotation = new ArrayList<>();
            for (Router router : routers) {
                if (misses.getOrDefault(router, 0) < 2) {
                    inRotation.add(router);
                }
            }
            List<Router> used = inRotation.size() * 2 < routers.size() ? routers : inRotation;
            return used.get(next.getAndIncrement() % used.size());
        }
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        List<PlainWorker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            workers.add(new PlainWorker("i-" + "abc".charAt(i), net + (11 + i)) {
                @Override
                void serve(Channel channel, Http.Head head, byte[] body) throws Exception {
                    runs.put(head.header("Attempt-Id"), nowMs());
                    log(id + " runs " + head.header("Attempt-Id"));
                    Thread.sleep(WORK_MS);
                    answer(channel, head);
                }
            });
        }
        store.put(
                "config",
                "main",
                config(
                        1,
                        plainRoute("charge", "/charge/", "unsafe", "member-api", 1, 800),
                        plainService("member-api"),
                        tenant(TENANT, KEY)));
        for (PlainWorker worker : workers) {
            store.put("servers", worker.id, workerEntry("member-api", worker.address(), "za", 6, "ready", 1_000));
        }
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new Router("front-" + (i + 1), net + (21 + i), "za"));
        }
        startRouters(routers, "{\"za\":\"r\"}", net + "1:" + store.port());
        Balancer balancer = new Balancer(routers);
        Thread.sleep(4_000);

        List<Outcome> outcomes = new CopyOnWriteArrayList<>();
        Map<String, List<long[]>> stops = new ConcurrentHashMap<>();
        routers.forEach(router -> stops.put(router.name, new CopyOnWriteArrayList<>()));
        if (hasTrouble) {
            Threads.start("platform", () -> {
                for (int round = 0; round < ROUNDS; round++) {
                    long roundStart = nowMs();
                    for (Router router : routers.subList(0, STOPPED)) {
                        Threads.start("stop", () -> stop(router, stops.get(router.name)));
                        Thread.sleep(GAP_MS);
                    }
                    Thread.sleep(Math.max(0, roundStart + ROUND_MS - nowMs()));
                }
            });
        }
        List<Thread> clients = new ArrayList<>();
        byte[] body = "amount=1".getBytes();
        long start = nowMs();
        for (int sent = 0; nowMs() - start < ROUNDS * ROUND_MS; sent++) {
            String id = newId();
            clients.add(Threads.start("client", () -> {
                Router router = balancer.choose();
                long sentAt = nowMs();
                Http.Response response = Http.call(
                        router.ip,
                        router.front,
                        requestHead("POST", "/charge/c", id, 1_500, KEY, body.length),
                        body,
                        2_500);
                outcomes.add(new Outcome(id, router.name, sentAt, response.status(), response.failure()));
                log("request " + id + " to " + router.name + " answered " + response.status() + " " + response.failure());
            }));
            Thread.sleep(1_000 / REQUESTS_PER_S);
        }
        for (Thread client : clients) {
            client.join(3_000);
        }
        Set<String> kinds = new java.util.TreeSet<>();
        int lost = 0;
        for (Outcome outcome : outcomes) {
            boolean isInStop = stops.get(outcome.router).stream()
                    .anyMatch(stop -> outcome.sentAtMs >= stop[0] - 800 && outcome.sentAtMs <= stop[0] + GRACE_MS + 1_000);
            if (outcome.status == 0 && runs.containsKey(outcome.id) && isInStop) {
                long[] stop = stops.get(outcome.router).stream()
                        .filter(s -> outcome.sentAtMs >= s[0] - 800)
                        .reduce((first, second) -> second)
                        .orElseThrow();
                lost++;
                kinds.add(outcome.failure);
                log("LOST: " + outcome.id + ", sent to " + outcome.router + " " + (outcome.sentAtMs - stop[0])
                        + " ms after its SIGTERM, ran and got no answer: " + outcome.failure);
            }
        }
        long served = outcomes.stream().filter(o -> o.status == 200).count();
        say("requests " + outcomes.size() + ", served " + served + ", passed on to a worker and cut without an answer " + lost + " "
                + kinds);
        if (served == 0) {
            throw new CannotRun("no request was served");
        }
        return lost > 0 ? BROKEN : HELD;
    }

    private void stop(Router router, List<long[]> stops) throws Exception {
        long at = nowMs();
        stops.add(new long[] {at});
        log(router.name + " gets SIGTERM");
        router.process.destroy();
        if (!router.process.waitFor(GRACE_MS, java.util.concurrent.TimeUnit.MILLISECONDS)) {
            log(router.name + " gets SIGKILL");
            router.process.destroyForcibly().waitFor();
        }
        log(router.name + " has exited " + (nowMs() - at) + " ms after its SIGTERM");
        Thread.sleep(500);
        router.start();
    }
}
