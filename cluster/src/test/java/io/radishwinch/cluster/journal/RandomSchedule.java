package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.cluster.platform.PlatformFaults;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Random schedule of requests and faults, which records all runs and violations. */
final class RandomSchedule {
    private static final int KEYS = 4;
    private static final int ACTIONS = 60;
    private static final long RECOVERY_MS = 120_000;

    private final Random random;
    private final Fleet fleet;
    private final Map<String, String> runs = new HashMap<>();
    private final Map<String, String> outcomes = new HashMap<>();
    /** Keys that a crashed router had worked on, which may stay in doubt. */
    private final Set<String> mayStayInDoubt = new HashSet<>();

    private final Map<String, Integer> calls = new HashMap<>();
    private final Set<String> grantedNonces = new HashSet<>();
    private final List<String> violations = new ArrayList<>();

    RandomSchedule(long seed) {
        this.random = new Random(seed);
        JournalSettings settings = JournalSettings.of("template")
                .withShardCount(1)
                .withShardLimits(2 + random.nextInt(4), 1_000, random.nextBoolean() ? 0 : 10_000);
        this.fleet = new Fleet(seed, 3, settings, random.nextBoolean());
        fleet.platform.faults().setLatencyMs(1, 8);
    }

    List<String> violations() {
        return violations;
    }

    void run() {
        for (int i = 0; i < ACTIONS; i++) {
            if (random.nextInt(3) == 0) {
                injectFault();
            } else {
                send(randomRouter(), "key-" + random.nextInt(KEYS), random.nextInt(8) == 0 ? "other" : "content");
            }
            long pauseMs = random.nextInt(4) == 0 ? random.nextInt(3_000) : random.nextInt(30);
            fleet.scheduler.advance(pauseMs);
        }
        fleet.platform.faults().clear();
        fleet.routers.forEach(router -> {
            router.isDisconnectedFromPeers = false;
            router.losesPeerReplies = false;
            router.resume();
        });
        fleet.preferredWriterIndex = -1;
        fleet.scheduler.advance(RECOVERY_MS);
        for (int i = 0; i < KEYS; i++) {
            checkFinalState("key-" + i);
        }
    }

    /**
     * Checks that a key that never ran is free again after all faults ended, unless a router crashed with its grant.
     */
    private void checkFinalState(String key) {
        Decision decision = fleet.begin(fleet.start(), key, runs.getOrDefault(key, "content"));
        if (outcomes.containsKey(key)) {
            check(
                    outcomes.get(key).equals(Fleet.replayedOutcome(decision)) || mayStayInDoubt.contains(key),
                    key + " ran and was answered with " + decision);
        } else if (!runs.containsKey(key) && !mayStayInDoubt.contains(key)) {
            check(decision instanceof Decision.Granted, key + " never ran and was answered with " + decision);
        }
    }

    private void injectFault() {
        PlatformFaults faults = fleet.platform.faults();
        TestRouter router = randomRouter();
        switch (random.nextInt(13)) {
            case 0 -> {
                if (!router.hasCrashed && fleet.routers.size() < 8) {
                    router.crash();
                    fleet.start();
                }
            }
            case 1, 2 -> router.pause();
            case 3, 4 -> fleet.routers.forEach(TestRouter::resume);
            case 5 -> faults.loseNextWriteResponses(1 + random.nextInt(3));
            case 6 -> faults.setResponseLossProbability(random.nextInt(3) * 0.15);
            case 7 -> faults.setDown(random.nextInt(3) == 0);
            case 8 -> faults.setStaleReads(10, random.nextInt(3) * 0.2);
            case 9 -> router.losesPeerReplies = !router.losesPeerReplies;
            case 10 -> faults.setLatencyMs(1, random.nextInt(3) == 0 ? 5_000 : 8);
            case 11 -> router.isDisconnectedFromPeers = !router.isDisconnectedFromPeers;
            default -> fleet.preferredWriterIndex = random.nextInt(fleet.routers.size() + 1) - 1;
        }
    }

    private TestRouter randomRouter() {
        return fleet.router(random.nextInt(fleet.routers.size()));
    }

    private void send(TestRouter router, String key, String content) {
        if (router.hasCrashed) {
            return;
        }
        // A crashed router cannot release a grant whose record is or may be in the log.
        router.onCrash(() -> mayStayInDoubt.add(key));
        // An intent that is recorded late may leave its key in doubt if its abandoned nonce was evicted. Seed 10308
        // shows this with a limit of 8 nonces.
        if (calls.merge(key, 1, Integer::sum) > KeyEntry.MAX_ABANDONED_NONCES) {
            mayStayInDoubt.add(key);
        }
        router.run(() -> router.journal
                .begin("clinic", key, Fleet.bytes(content))
                .subscribe()
                .with(decision -> onDecision(router, key, content, decision)));
    }

    private void onDecision(TestRouter router, String key, String content, Decision decision) {
        if (decision instanceof Decision.Replay) {
            check(
                    Fleet.replayedOutcome(decision).equals(outcomes.get(key)) && content.equals(runs.get(key)),
                    key + " was answered with another request's outcome");
        } else if (decision instanceof Decision.Granted grant) {
            check(grantedNonces.add(grant.nonce()), "nonce " + grant.nonce() + " was granted twice");
            router.after(random.nextInt(20), () -> {
                if (random.nextInt(4) == 0) {
                    router.journal.abandon(grant).subscribe().with(recorded -> {});
                } else {
                    execute(router, key, content, grant);
                }
            });
        }
    }

    private void execute(TestRouter router, String key, String content, Decision.Granted grant) {
        String before = runs.put(key, content);
        check(before == null, key + " ran twice");
        router.after(random.nextInt(50), () -> {
            String outcome = "answer of " + grant.nonce();
            outcomes.put(key, outcome);
            // An outcome that could not be recorded immediately is recorded later, so the result is ignored.
            router.journal.complete(grant, Fleet.bytes(outcome)).subscribe().with(recorded -> {});
        });
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            violations.add(violation);
        }
    }
}
