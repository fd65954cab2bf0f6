package io.radishwinch.server;

import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Change;
import io.radishwinch.cluster.platform.PlatformClient.Page;
import io.radishwinch.config.ConfigError;
import io.radishwinch.config.contract.ConfigAssembler;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.config.contract.ObjectReader;
import io.radishwinch.core.model.FleetConfig;
import io.smallrye.mutiny.subscription.Cancellable;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Feeds the configuration objects of the platform to the shared state, and assembles the configuration in effect. Only
 * the watchers of a data centre watch the platform; the others are told by their peers. Runs on the control thread.
 */
final class ConfigurationFollower {
    private static final int PAGE_SIZE = 500;

    private final PlatformClient platform;
    private final PeerNode node;
    private final LongSupplier clockMs;
    private final Consumer<FleetConfig> receiver;
    private Cancellable watch = () -> {};
    private boolean busy;
    private boolean listedOnce;
    private boolean changed;

    ConfigurationFollower(
            PlatformClient platform, PeerNode node, LongSupplier clockMs, Consumer<FleetConfig> receiver) {
        this.platform = platform;
        this.node = node;
        this.clockMs = clockMs;
        this.receiver = receiver;
    }

    /** Returns the faults of an object, or empty if it is valid. */
    static Optional<String> problem(String key, byte[] value) {
        Optional<ObjectKind> kind = ObjectKind.fromKey(key);
        if (kind.isEmpty()) {
            return Optional.of("not the key of a configuration object");
        }
        String text = new String(value, StandardCharsets.UTF_8);
        return ObjectReader.check(kind.get(), key, text)
                .fold(errors -> errors.stream().map(ConfigError::toString).findFirst(), name -> Optional.empty());
    }

    /**
     * Starts or stops watching as the role of this router changes, and assembles what has changed; called periodically.
     */
    void tick() {
        if (!busy && node.mayReadPlatform() && (node.isPlatformWatcher() || !listedOnce)) {
            busy = true;
            list("", new ArrayList<>(), Long.MAX_VALUE);
        } else if (busy && listedOnce && !node.isPlatformWatcher()) {
            watch.cancel();
            busy = false;
        }
        if (changed) {
            changed = false;
            publish();
        }
    }

    /** Notes that an object in the shared state has changed. */
    void objectChanged() {
        changed = true;
    }

    /** Takes a write of this router that the platform has accepted, so that it need not wait for the watch. */
    void written(String key, long version, byte[] value) {
        node.offerConfiguration(key, version, value, clockMs.getAsLong());
    }

    /** Returns the version of a caller's contract in effect, or 0 if there is none. */
    long version(String caller) {
        return node.configuration()
                .object(ObjectKind.CONTRACT.key(caller))
                .map(ConfigurationObject::version)
                .orElse(0L);
    }

    private void list(String afterKey, List<ConfigurationObject> listing, long storeVersion) {
        platform.list(ObjectKind.KEY_PREFIX, afterKey, PAGE_SIZE)
                .subscribe()
                .with(
                        page -> listed(page, listing, Math.min(storeVersion, page.storeVersion())),
                        error -> busy = false);
    }

    private void listed(Page page, List<ConfigurationObject> listing, long storeVersion) {
        page.objects()
                .forEach(
                        object -> listing.add(new ConfigurationObject(object.key(), object.version(), object.value())));
        if (page.more() && !page.objects().isEmpty()) {
            list(page.objects().get(page.objects().size() - 1).key(), listing, storeVersion);
            return;
        }
        node.offerConfigurationListing(ObjectKind.KEY_PREFIX, listing, storeVersion, clockMs.getAsLong());
        listedOnce = true;
        changed = true;
        if (node.isPlatformWatcher()) {
            watch = platform.watch(ObjectKind.KEY_PREFIX, storeVersion)
                    .subscribe()
                    .with(this::changed, error -> busy = false, () -> busy = false);
        } else {
            busy = false;
        }
    }

    private void changed(Change change) {
        node.offerConfiguration(change.key(), change.version(), change.value().orElse(null), clockMs.getAsLong());
    }

    private void publish() {
        Map<String, String> texts = new HashMap<>();
        for (ConfigurationObject object : node.configuration().objects()) {
            texts.put(object.key(), new String(object.value(), StandardCharsets.UTF_8));
        }
        receiver.accept(ConfigAssembler.assemble(node.configuration().versionInEffect(), texts));
    }
}
