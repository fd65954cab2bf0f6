package io.radishwinch.server;

import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Change;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.cluster.platform.Scheduler;
import io.radishwinch.cluster.platform.WatchFollower;
import io.radishwinch.config.ConfigError;
import io.radishwinch.config.contract.ConfigAssembler;
import io.radishwinch.config.contract.ConfigObjectReader;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.core.model.FleetConfig;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

/**
 * Passes the platform's configuration objects to the peer state and assembles the configuration in effect. Only the
 * watchers of a data centre watch the platform; other routers receive the objects from peers, and list them once if the
 * peers do not provide them. Runs on the control thread.
 */
final class ConfigurationFollower {
    private final PeerNode node;
    private final LongSupplier clockMs;
    private final Consumer<FleetConfig> receiver;
    private final WatchFollower follower;
    private boolean hasChanged;

    ConfigurationFollower(
            PlatformClient platform,
            Scheduler scheduler,
            RandomGenerator random,
            PeerNode node,
            LongSupplier clockMs,
            Consumer<FleetConfig> receiver) {
        this.node = node;
        this.clockMs = clockMs;
        this.receiver = receiver;
        this.follower = new WatchFollower(platform, scheduler, random, ObjectKind.KEY_PREFIX, new PlatformReceiver());
    }

    /** Passes changes and listings of the platform to the peer state. */
    private final class PlatformReceiver implements WatchFollower.Receiver {
        @Override
        public void onChange(Change change) {
            node.offerConfiguration(
                    change.key(), change.version(), change.value().orElse(null), clockMs.getAsLong());
        }

        @Override
        public void onListing(Collection<StoredObject> objects, long storeVersion) {
            List<ConfigurationObject> listing = objects.stream()
                    .map(object -> new ConfigurationObject(object.key(), object.version(), object.value()))
                    .toList();
            node.offerConfigurationListing(ObjectKind.KEY_PREFIX, listing, storeVersion, clockMs.getAsLong());
            markChanged();
        }
    }

    /** Returns the first error of an object, or empty if it is valid. */
    static Optional<String> findError(String key, byte[] value) {
        Optional<ObjectKind> kind = ObjectKind.fromKey(key);
        if (kind.isEmpty()) {
            return Optional.of("key does not belong to a configuration object");
        }
        String text = new String(value, StandardCharsets.UTF_8);
        return ConfigObjectReader.check(kind.get(), key, text)
                .fold(errors -> errors.stream().map(ConfigError::toString).findFirst(), name -> Optional.empty());
    }

    /** Stops watching for good; {@link #tick} must not be called afterwards. */
    void stop() {
        follower.stop();
    }

    /**
     * Starts or stops watching according to the role of this router, and assembles changed objects once the
     * configuration is known as a whole; called periodically.
     */
    void tick() {
        if (node.isPlatformWatcher()) {
            follower.start();
        } else if (node.isConfigurationOverdue()) {
            follower.listOnce();
        } else {
            follower.stop();
        }
        // Part of a configuration would refuse the callers and models of the other parts as unknown.
        if (hasChanged && node.isConfigurationComplete()) {
            hasChanged = false;
            assembleConfiguration();
        }
    }

    /** Marks the configuration for assembly because an object changed. */
    void markChanged() {
        hasChanged = true;
    }

    /** Applies a write of this router that the platform accepted, without waiting for the watch. */
    void applyWrite(String key, long version, byte[] value) {
        node.offerConfiguration(key, version, value, clockMs.getAsLong());
    }

    /** Returns the version of a caller's contract in effect, or 0 if the caller has none. */
    long contractVersion(String caller) {
        return node.configuration()
                .object(ObjectKind.CONTRACT.key(caller))
                .map(ConfigurationObject::version)
                .orElse(0L);
    }

    private void assembleConfiguration() {
        Map<String, String> texts = new HashMap<>();
        for (ConfigurationObject object : node.configuration().objects()) {
            texts.put(object.key(), new String(object.value(), StandardCharsets.UTF_8));
        }
        receiver.accept(ConfigAssembler.assemble(node.configuration().versionInEffect(), texts));
    }
}
