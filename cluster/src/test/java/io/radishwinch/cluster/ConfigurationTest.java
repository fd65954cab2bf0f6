package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.configuration.ConfigurationStore;
import io.radishwinch.cluster.configuration.RejectedObject;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.protocol.generated.EntryKind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Guards against configuration that reverts to an earlier version, is lost, or takes effect although it is invalid.
 * Stale reads, restarts, partitions and platform outages can cause these failures.
 */
class ConfigurationTest {

    private static final long EFFECT_BOUND_MS = 16_000;

    /** Number of schedules by default. The system property {@code radishwinch.tries} sets a higher number. */
    private static final int TRIES = 200;

    /** Platform with its current and all earlier states, for stale reads. */
    private static final class FakePlatform {
        final Map<String, ConfigurationObject> objects = new TreeMap<>();
        final List<Map<String, ConfigurationObject>> history = new ArrayList<>();
        long version;
        boolean isDown;

        void write(String key, String value) {
            history.add(new TreeMap<>(objects));
            version++;
            objects.remove(key);
            if (value != null) {
                objects.put(key, new ConfigurationObject(key, version, value.getBytes(StandardCharsets.UTF_8)));
            }
        }

        /** Lets each watcher list the configuration, in one of four cases from an earlier state. */
        void poll(TestBus bus, Random random) {
            for (TestBus.Router router : bus.routers.values()) {
                if (isDown || router.isPaused || !router.node.isPlatformWatcher()) {
                    continue;
                }
                boolean isStale = !history.isEmpty() && random.nextInt(4) == 0;
                int index = isStale ? random.nextInt(history.size()) : 0;
                Map<String, ConfigurationObject> state = isStale ? history.get(index) : objects;
                long stateVersion = isStale ? index : version;
                router.node.offerConfigurationListing(
                        "config/", List.copyOf(state.values()), stateVersion, bus.nowMs + router.clockSkewMs);
            }
        }
    }

    /** Fails when an object at a router changes to a lower or the same version. */
    private static final class RevertDetector implements PeerListener {
        final Map<String, Long> seen = new HashMap<>();

        @Override
        public void configurationChanged(ConfigurationObject object) {
            Long before = seen.put(object.key(), object.version());
            assertThat(before == null || before < object.version()).isTrue();
        }
    }

    private static Map<String, Long> versions(PeerNode node) {
        Map<String, Long> versions = new TreeMap<>();
        node.configuration().objects().forEach(o -> versions.put(o.key(), o.version()));
        return versions;
    }

    private static Map<String, Long> versions(FakePlatform platform) {
        Map<String, Long> versions = new TreeMap<>();
        platform.objects.values().forEach(o -> versions.put(o.key(), o.version()));
        return versions;
    }

    private static void assertInEffectEverywhere(TestBus bus, FakePlatform platform) {
        bus.routers.values().forEach(r -> assertThat(versions(r.node))
                .as(r.node.self().id())
                .isEqualTo(versions(platform)));
    }

    private static void run(TestBus bus, FakePlatform platform, long durationMs) {
        for (long end = bus.nowMs + durationMs; bus.nowMs < end; ) {
            platform.poll(bus, bus.random);
            bus.runFor(Math.min(500, end - bus.nowMs));
        }
    }

    private static TestBus.Router start(TestBus bus, Seed seed, List<Seed> seeds, long skewMs) {
        TestBus.Router router = bus.start(seed, seeds, skewMs);
        router.node.addListener(new RevertDetector());
        return router;
    }

    @Property(tries = TRIES, seed = "4711")
    void noConfigurationEverRevertsOverRandomSchedules(@ForAll long seed) {
        for (int i = 0; i < Math.max(1, Integer.getInteger("radishwinch.tries", TRIES) / TRIES); i++) {
            runSchedule(seed + i * 7_919L);
        }
    }

    private static void runSchedule(long seed) {
        TestBus bus = new TestBus(seed);
        FakePlatform platform = new FakePlatform();
        List<Seed> seeds = TestBus.seeds(2, 3);
        seeds.forEach(s -> start(bus, s, seeds, bus.random.nextInt(10_001) - 5_000));
        run(bus, platform, 6_000);
        for (int step = 0; step < 12; step++) {
            Seed chosen = seeds.get(bus.random.nextInt(seeds.size()));
            TestBus.Router router = bus.routers.get(chosen.address());
            switch (bus.random.nextInt(8)) {
                case 0 -> platform.isDown = !platform.isDown;
                case 1 -> router.isPaused = !router.isPaused;
                case 2 -> start(bus, chosen, seeds, bus.random.nextInt(10_001) - 5_000);
                case 3 ->
                    bus.isBlocked = bus.random.nextBoolean()
                            ? (from, to) -> !from.host()
                                    .substring(0, 6)
                                    .equals(to.host().substring(0, 6))
                            : (from, to) -> false;
                case 4 -> bus.lossProbability = bus.random.nextInt(3) * 0.1;
                case 5 -> platform.write("config/" + bus.random.nextInt(4), null);
                default -> platform.write("config/" + bus.random.nextInt(4), "v" + step);
            }
            run(bus, platform, bus.random.nextInt(3_000));
        }
        bus.isBlocked = (from, to) -> false;
        bus.lossProbability = 0;
        platform.isDown = false;
        bus.routers.values().forEach(r -> r.isPaused = false);
        run(bus, platform, EFFECT_BOUND_MS);
        assertInEffectEverywhere(bus, platform);
    }

    @Example
    void aChangeTakesEffectAt60RoutersWithin16SWhileHalfOfThemCannotReachThePlatform() {
        TestBus bus = new TestBus(1);
        List<Seed> seeds = TestBus.seeds(2, 30);
        seeds.forEach(s -> start(bus, s, seeds, 0));
        bus.runFor(8_000);
        // Only the first data centre reaches the platform, so the second one receives the changes through relays.
        for (int i = 0; i < 50; i++) {
            for (TestBus.Router r : bus.routers.values()) {
                if (r.node.isPlatformWatcher() && r.node.self().dataCentre().equals("dc0")) {
                    r.node.offerConfiguration("config/" + i, i + 1, new byte[1_000], bus.nowMs);
                }
            }
        }
        bus.runFor(EFFECT_BOUND_MS);
        bus.routers.values().forEach(r -> {
            assertThat(r.node.configuration().versionInEffect()).isEqualTo(50);
            assertThat(r.node.configuration().objects()).hasSize(50);
        });
    }

    @Example
    void replacingEveryRouterWhileThePlatformIsDownFor30MinLosesNothing() {
        TestBus bus = new TestBus(2);
        FakePlatform platform = new FakePlatform();
        List<Seed> seeds = TestBus.seeds(1, 8);
        seeds.forEach(s -> start(bus, s, seeds, 0));
        run(bus, platform, 6_000);
        for (int i = 0; i < 20; i++) {
            platform.write("config/" + i, "value");
        }
        platform.write("config/3", null);
        run(bus, platform, EFFECT_BOUND_MS);
        long fingerprint = bus.node("dc0", 0).configuration().fingerprint();
        platform.isDown = true;
        long outageEndMs = bus.nowMs + 30 * 60_000;
        for (int i = 0; i < 8; i++) {
            Seed predecessor = TestBus.seed("dc0", i);
            bus.send(
                    predecessor.address(),
                    bus.routers.remove(predecessor.address()).node.leave(bus.nowMs));
            // The VM list cannot be read during the outage either, so every other replacement reuses the address of its
            // predecessor, which is a seed.
            Seed replacement = new Seed("dc0-new" + i, "dc0", TestBus.address("dc0", i % 2 == 0 ? i : 100 + i));
            TestBus.Router router = start(bus, replacement, seeds, 0);
            bus.runFor(EFFECT_BOUND_MS);
            assertThat(router.node.configuration().fingerprint()).isEqualTo(fingerprint);
            bus.runFor(200_000);
        }
        bus.runUntil(outageEndMs);
        // Tombstones must survive too: a stale read after the outage must not restore the object.
        bus.routers.values().forEach(r -> assertThat(
                        r.node.offerConfiguration("config/3", 4, new byte[] {1}, bus.nowMs))
                .isEqualTo(ConfigurationStore.Outcome.STALE));
        platform.isDown = false;
        run(bus, platform, EFFECT_BOUND_MS);
        assertInEffectEverywhere(bus, platform);
    }

    /** Guards against a limit below that of the platform, above which an object was silently never in effect. */
    @Example
    void anObjectOfEverySizeThatThePlatformHoldsTakesEffectEverywhere() {
        for (int sizeBytes : List.of(1_000_000, 1_000_001, 1_029_903, 1_048_575, 1_048_576)) {
            assertTakesEffectEverywhere(sizeBytes, false);
            assertTakesEffectEverywhere(sizeBytes, true);
        }
        assertTakesEffectEverywhere(ConfigurationStore.MAX_OBJECT_BYTES, true);
    }

    private static void assertTakesEffectEverywhere(int sizeBytes, boolean hasElectedWatchers) {
        TestBus bus = new TestBus(sizeBytes);
        bus.startAll(TestBus.seeds(2, 4));
        if (hasElectedWatchers) {
            bus.routers.values().forEach(router -> router.node.electWatchers());
        }
        bus.runFor(EFFECT_BOUND_MS);
        PeerNode reader = bus.node("dc0", 0);
        assertThat(reader.offerConfiguration("config/large", 9, new byte[sizeBytes], bus.nowMs))
                .isEqualTo(ConfigurationStore.Outcome.IN_EFFECT);
        bus.runFor(EFFECT_BOUND_MS);
        assertThat(bus.routers.values())
                .allSatisfy(router -> assertThat(router.node.configuration().hasVersion("config/large", 9))
                        .as("%s, %s bytes, elected watchers %s", router.node.self(), sizeBytes, hasElectedWatchers)
                        .isTrue());
    }

    @Example
    void anInvalidObjectIsRejectedAndTheLastValidVersionStaysInEffect() {
        List<ConfigurationObject> inEffect = new ArrayList<>();
        List<RejectedObject> reported = new ArrayList<>();
        ConfigurationStore store = new ConfigurationStore(
                (key, value) -> value.length > 3 ? Optional.of("too long") : Optional.empty(),
                (object, hasOtherContent) -> inEffect.add(object),
                key -> {},
                reported::add);
        assertThat(store.offer("a", 5, new byte[3])).isEqualTo(ConfigurationStore.Outcome.IN_EFFECT);
        assertThat(store.offer("a", 9, new byte[4])).isEqualTo(ConfigurationStore.Outcome.INVALID);
        assertThat(store.object("a").orElseThrow().version()).isEqualTo(5);
        assertThat(store.rejected()).singleElement().satisfies(r -> {
            assertThat(r.version()).isEqualTo(9);
            assertThat(r.problem()).isEqualTo("too long");
        });
        assertThat(store.offer("a", 9, new byte[4])).isEqualTo(ConfigurationStore.Outcome.INVALID);
        assertThat(reported).isEqualTo(store.rejected());
        assertThat(store.offer("a", 4, new byte[1])).isEqualTo(ConfigurationStore.Outcome.STALE);
        assertThat(store.offer("a", 10, new byte[1])).isEqualTo(ConfigurationStore.Outcome.IN_EFFECT);
        assertThat(store.rejected()).isEmpty();
        assertThat(inEffect).hasSize(2);
    }

    @Example
    void evictingOldTombstonesDoesNotRestoreDeletedObjects() {
        List<String> evictedKeys = new ArrayList<>();
        ConfigurationStore store = new ConfigurationStore(
                (key, value) -> Optional.empty(), (object, hasOtherContent) -> {}, evictedKeys::add, rejected -> {});
        for (int i = 0; i <= ConfigurationStore.MAX_TOMBSTONES; i++) {
            store.offer("k" + i, 2L * i + 2, null);
        }
        assertThat(evictedKeys).contains("k0").hasSize(ConfigurationStore.MAX_TOMBSTONES / 4);
        assertThat(store.offer("k0", 1, new byte[1])).isEqualTo(ConfigurationStore.Outcome.STALE);
    }

    @Example
    void onlyThePlatformCanWriteConfiguration() {
        PeerNode node = new PeerNode("r", "dc0", TestBus.address("dc0", 0), 1, 1);
        assertThatThrownBy(() -> node.publish(EntryKind.CONFIGURATION, "k", new byte[1], 5, 1))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
