package io.radishwinch.cluster.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Guards against changes that are missed, applied in reverse order or undone by a stale listing. */
class WatchFollowerTest {
    private final Map<String, Long> versions = new HashMap<>();
    private final Map<String, String> values = new HashMap<>();
    private final List<String> decreasingVersions = new ArrayList<>();
    private VirtualScheduler scheduler;
    private InMemoryPlatform platform;

    private void start(long seed) {
        versions.clear();
        values.clear();
        decreasingVersions.clear();
        scheduler = new VirtualScheduler(0);
        platform = new InMemoryPlatform(scheduler, new Random(seed));
        new WatchFollower(platform, scheduler, new Random(seed), "config/", change -> {
                    if (change.version() <= versions.getOrDefault(change.key(), 0L)) {
                        decreasingVersions.add(change.key() + " at " + change.version());
                    }
                    versions.put(change.key(), change.version());
                    change.value()
                            .ifPresentOrElse(
                                    value -> values.put(change.key(), new String(value, StandardCharsets.UTF_8)),
                                    () -> values.remove(change.key()));
                })
                .start();
    }

    private void write(String key, String value) {
        StoredObject current = platform.contents().get(key);
        long version = current == null ? 0 : current.version();
        (value == null
                        ? platform.delete(key, version, "n")
                        : platform.put(key, version, value.getBytes(StandardCharsets.UTF_8), "n"))
                .subscribe()
                .with(result -> {}, failure -> {});
    }

    private void assertCaughtUp() {
        Map<String, String> stored = new HashMap<>();
        platform.contents()
                .forEach((key, object) -> stored.put(key, new String(object.value(), StandardCharsets.UTF_8)));
        assertThat(decreasingVersions).isEmpty();
        assertThat(values).isEqualTo(stored);
    }

    @Test
    void aDiscardedHistoryCausesANewListingThatAlsoReportsDeletions() {
        start(1);
        write("config/a", "1");
        write("config/b", "1");
        scheduler.advance(100);
        platform.faults().setDown(true);
        platform.breakWatches();
        scheduler.advance(1_000);
        platform.faults().clear();
        write("config/a", null);
        write("config/c", "1");
        scheduler.advance(4);
        platform.discardHistory();
        scheduler.advance(60_000);
        assertCaughtUp();
    }

    @Test
    void aChangeThatAWatchSilentlyDroppedIsFoundByALaterListing() {
        start(1);
        scheduler.advance(100);
        platform.faults().dropNextChanges(1);
        write("config/a", "1");
        scheduler.advance(100);
        assertThat(values).isEmpty();
        scheduler.advance(600_000);
        assertCaughtUp();
    }

    @Test
    void aStaleListingNeverRestoresADeletedObject() {
        start(1);
        write("config/a", "1");
        scheduler.advance(100);
        write("config/a", null);
        scheduler.advance(600_000);
        platform.faults().setStaleReads(1, 1);
        scheduler.advance(600_000);
        assertCaughtUp();
    }

    @Property(tries = 200, seed = "5", shrinking = ShrinkingMode.OFF)
    void noVersionEverGoesBackUnderStaleReadsOutagesAndBreaks(@ForAll long seed) {
        start(seed);
        Random random = new Random(seed);
        for (int i = 0; i < 80; i++) {
            switch (random.nextInt(10)) {
                case 0 -> platform.faults().setStaleReads(10, random.nextDouble());
                case 1 -> platform.breakWatches();
                case 2 -> platform.discardHistory();
                case 3 -> platform.faults().setDown(random.nextBoolean());
                case 4 -> platform.faults().setResponseLossProbability(random.nextDouble() / 2);
                default -> write("config/" + random.nextInt(5), random.nextInt(3) == 0 ? null : "value-" + i);
            }
            scheduler.advance(random.nextInt(400));
        }
        platform.faults().clear();
        scheduler.advance(900_000);
        assertCaughtUp();
    }

    /** Guards against changes of a restored store that are taken for ones from before, or skipped by a watch. */
    @Test
    void aChangeAtARevisionThatWasGivenOutBeforeTheRestoreIsReported() {
        start(1);
        write("config/a", "1");
        scheduler.advance(100);
        InMemoryPlatform.Copy copy = platform.copy();
        write("config/a", "2");
        write("config/b", "1");
        scheduler.advance(100);
        platform.restore(copy);
        write("config/c", "1");
        write("config/c", "2");
        write("config/c", "3");
        scheduler.advance(1_000);
        assertCaughtUp();
    }

    @Property(tries = 200, seed = "6", shrinking = ShrinkingMode.OFF)
    void noChangeIsMissedWhenThePlatformIsRestoredFromCopies(@ForAll long seed) {
        start(seed);
        Random random = new Random(seed);
        InMemoryPlatform.Copy copy = platform.copy();
        for (int i = 0; i < 80; i++) {
            switch (random.nextInt(12)) {
                case 0 -> platform.faults().setStaleReads(10, random.nextDouble());
                case 1 -> platform.breakWatches();
                case 2 -> platform.faults().setDown(random.nextBoolean());
                case 3 -> copy = platform.copy();
                case 4 -> platform.restore(copy);
                default -> write("config/" + random.nextInt(5), random.nextInt(3) == 0 ? null : "value-" + i);
            }
            scheduler.advance(random.nextInt(400));
        }
        platform.faults().clear();
        scheduler.advance(900_000);
        assertCaughtUp();
    }

    /** Guards against a follower that neither lists nor watches any more because its receiver threw an exception. */
    @Test
    void aListingThatItsReceiverCannotHandleIsRepeated() {
        scheduler = new VirtualScheduler(0);
        platform = new InMemoryPlatform(scheduler, new Random(1));
        write("config/a", "1");
        scheduler.advance(100);
        List<String> received = new ArrayList<>();
        boolean[] isFailing = {true};
        new WatchFollower(platform, scheduler, new Random(1), "config/", new WatchFollower.Receiver() {
                    @Override
                    public void onChange(PlatformClient.Change change) {
                        received.add(change.key());
                    }

                    @Override
                    public void onListing(Collection<StoredObject> objects, long storeVersion) {
                        if (isFailing[0]) {
                            isFailing[0] = false;
                            throw new IllegalStateException("listing cannot be handled");
                        }
                    }
                })
                .start();
        scheduler.advance(60_000);
        write("config/b", "1");
        scheduler.advance(1_000);
        assertThat(received).containsExactly("config/a", "config/b");
    }
}
