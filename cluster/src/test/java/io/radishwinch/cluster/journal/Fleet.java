package io.radishwinch.cluster.journal;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.VirtualScheduler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

/** Routers with journals that share one in-memory platform and a virtual clock. */
final class Fleet {
    static final long START_MS = 1_700_000_000_000L;
    private static final long AWAIT_TIMEOUT_MS = 20_000;

    final Random random;
    final VirtualScheduler scheduler = new VirtualScheduler(START_MS);
    final InMemoryPlatform platform;
    final List<TestRouter> routers = new ArrayList<>();
    /** Index of the preferred writer of all routers, or -1 if each router writes by itself. */
    int preferredWriterIndex = -1;

    /**
     * Whether the journals use the platform through a {@link io.radishwinch.cluster.platform.ResilientPlatformClient}.
     */
    final boolean isResilient;

    private final JournalSettings settings;

    Fleet(long seed, int size, JournalSettings settings) {
        this(seed, size, settings, false);
    }

    Fleet(long seed, int size, JournalSettings settings, boolean resilient) {
        this.isResilient = resilient;
        this.random = new Random(seed);
        this.settings = settings;
        this.platform = new InMemoryPlatform(scheduler, random);
        for (int i = 0; i < size; i++) {
            start();
        }
    }

    static Fleet of(long seed, int size) {
        return new Fleet(seed, size, JournalSettings.of("template").withShardCount(1));
    }

    TestRouter start() {
        TestRouter router = new TestRouter(this, "router-" + routers.size(), settings);
        routers.add(router);
        return router;
    }

    TestRouter router(int index) {
        return routers.get(index);
    }

    Optional<TestRouter> writer() {
        return preferredWriterIndex < 0 ? Optional.empty() : Optional.of(routers.get(preferredWriterIndex));
    }

    /** Begins a request and runs the clock until the decision arrives. */
    Decision begin(TestRouter router, String key, String content) {
        return await(beginAsync(router, key, content));
    }

    AtomicReference<Decision> beginAsync(TestRouter router, String key, String content) {
        AtomicReference<Decision> decision = new AtomicReference<>();
        router.journal.begin("clinic", key, bytes(content)).subscribe().with(decision::set);
        return decision;
    }

    boolean complete(TestRouter router, Decision grant, String outcome) {
        AtomicReference<Boolean> recorded = new AtomicReference<>();
        router.journal
                .complete((Decision.Granted) grant, bytes(outcome))
                .subscribe()
                .with(recorded::set);
        return await(recorded);
    }

    boolean abandon(TestRouter router, Decision grant) {
        AtomicReference<Boolean> recorded = new AtomicReference<>();
        router.journal.abandon((Decision.Granted) grant).subscribe().with(recorded::set);
        return await(recorded);
    }

    <T> T await(AtomicReference<T> result) {
        long untilMs = scheduler.nowMs() + AWAIT_TIMEOUT_MS;
        while (result.get() == null && scheduler.nowMs() < untilMs && scheduler.runNext()) {
            // Each iteration runs one task.
        }
        if (result.get() == null) {
            throw new AssertionError("no result within " + AWAIT_TIMEOUT_MS + " ms of virtual time");
        }
        return result.get();
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String replayedOutcome(Decision decision) {
        return decision instanceof Decision.Replay replay ? new String(replay.outcome(), StandardCharsets.UTF_8) : null;
    }
}
