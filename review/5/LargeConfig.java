package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The config grows by many routes and stays below the store's limit for an object. The same version takes a key away
 * and adds a route. From config_apply_ms after the store's confirmation, no request with that key may run, and the
 * added route must be known.
 */
final class LargeConfig extends Case {
    private static final int VALUE_BYTES = 1_048_576;
    private static final int CONFIG_APPLY_MS = 2_000;

    /** Largest dose of {@code big_config} in the site files. */
    private static final int MORE_ROUTES = 1_400;

    private static final int TENANTS = 1_300;
    private static final int IDLE_ROUTES = 1_440;
    private static final String REVOKED_KEY = "k2reviewreviewreview";
    private static final int INTERVAL_MS = 40;
    private static final long AFTER_MS = 20_000;

    private record Outcome(String what, long sentAtMs, int status, boolean ran) {}

    private final Map<String, Boolean> runs = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        main(new LargeConfig(), args[0]);
    }

    private final class Worker extends PlainWorker {
        Worker(String id, String host) throws Exception {
            super(id, host);
        }

        @Override
        void serve(Channel channel, Http.Head head, byte[] body) throws Exception {
            runs.put(head.header("Attempt-Id"), true);
            Thread.sleep(20);
            answer(channel, head);
        }
    }

    private static String idleRoute(int number) {
        return "{\"name\":\"r-idle" + number + "\",\"host\":\"" + HOST_NAME + "\",\"path_prefix\":\"/idle/" + number
                + "/\",\"kind\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,"
                + "\"traffic_split\":[{\"service\":\"member-api\",\"weight\":90},{\"service\":\"member-api\",\"weight\":10}],"
                + "\"attempts\":2,\"public_access\":false,\"session_affinity\":false,\"stream_resumption\":false}";
    }

    private static String configOf(int version, int idleRoutes, boolean isChanged) {
        StringBuilder routes = new StringBuilder(plainRoute("look", "/look/", "safe", "member-api", 2, 800));
        if (isChanged) {
            routes.append(",").append(plainRoute("added", "/added/", "safe", "member-api", 2, 800));
        }
        for (int i = 0; i < idleRoutes; i++) {
            routes.append(",").append(idleRoute(i));
        }
        StringBuilder tenants =
                new StringBuilder(isChanged ? tenant(TENANT, KEY) : tenant(TENANT, KEY, REVOKED_KEY));
        for (int i = 0; i < TENANTS; i++) {
            tenants.append(",").append(tenant("account" + i, String.format("k%019d", i), String.format("q%019d", i)));
        }
        return config(version, routes.toString(), plainService("member-api"), tenants.toString());
    }

    @Override
    int run() throws Exception {
        Store store = new Store(net + "1");
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            workers.add(new Worker("i-" + "abc".charAt(i), net + (11 + i)));
        }
        store.put("config", "main", configOf(1, IDLE_ROUTES, false));
        log("version 1, object of " + store.sizeOf("config", "main") + " bytes");
        for (Worker worker : workers) {
            store.put("servers", worker.id, workerEntry("member-api", worker.address(), "za", 6, "ready", 1_000));
        }
        List<Router> routers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            routers.add(new Router("front-" + (i + 1), net + (21 + i), "za"));
        }
        startRouters(routers, "{\"za\":\"r\"}", net + "1:" + store.port());
        Thread.sleep(4_000);

        List<Outcome> outcomes = new java.util.concurrent.CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        long confirmedAt = Long.MAX_VALUE;
        long end = nowMs() + 5_000 + AFTER_MS;
        long changeAt = nowMs() + 5_000;
        for (int i = 0; nowMs() < end; i++) {
            if (confirmedAt == Long.MAX_VALUE && nowMs() >= changeAt) {
                store.put("config", "main", configOf(2, IDLE_ROUTES + (hasTrouble ? MORE_ROUTES : 0), true));
                confirmedAt = nowMs();
                int bytes = store.sizeOf("config", "main");
                log("the store has confirmed version 2, object of " + bytes + " bytes");
                if (bytes > VALUE_BYTES) {
                    throw new CannotRun("the object is larger than value_bytes");
                }
            }
            Router router = routers.get(i / 3 % routers.size());
            String what = List.of("key", "revoked key", "added route").get(i % 3);
            String id = newId();
            clients.add(Threads.start("client", () -> {
                long sentAt = nowMs();
                Http.Response response = Http.call(
                        router.ip,
                        router.front,
                        requestHead(
                                "GET",
                                what.equals("added route") ? "/added/x" : "/look/x",
                                id,
                                1_500,
                                what.equals("revoked key") ? REVOKED_KEY : KEY,
                                0),
                        new byte[0],
                        2_500);
                outcomes.add(new Outcome(what, sentAt, response.status(), runs.containsKey(id)));
                log(what + ": request " + id + " answered " + response.status() + " " + response.failure());
            }));
            Thread.sleep(INTERVAL_MS);
        }
        for (Thread client : clients) {
            client.join(3_000);
        }
        long bound = confirmedAt + CONFIG_APPLY_MS;
        long afterwards = outcomes.stream().filter(o -> o.sentAtMs > bound).count();
        long withRevokedKey = outcomes.stream()
                .filter(o -> o.sentAtMs > bound && o.what.equals("revoked key") && o.ran)
                .count();
        long unknownRoute = outcomes.stream()
                .filter(o -> o.sentAtMs > bound && o.what.equals("added route") && o.status == 404)
                .count();
        long served = outcomes.stream()
                .filter(o -> o.what.equals("key") && o.status == 200)
                .count();
        say("sent later than config_apply_ms after the confirmation: " + afterwards + "; run with the key that was taken away "
                + withRevokedKey + "; 404 for the added route " + unknownRoute + "; served with the other key " + served);
        if (served == 0) {
            throw new CannotRun("no request was served");
        }
        return withRevokedKey + unknownRoute > 0 ? BROKEN : HELD;
    }
}
