package io.radishwinch.server;

import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.Change;
import io.radishwinch.cluster.platform.PlatformClient.Page;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.config.contract.ConfigAssembler;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.core.model.FleetConfig;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Follows the configuration objects of the platform; a version that was seen is never replaced by an older one. */
final class ConfigurationFollower {
    private static final int PAGE_SIZE = 500;
    private static final long RETRY_MS = 1000;

    private final Vertx vertx;
    private final PlatformClient platform;
    private final Consumer<FleetConfig> receiver;
    private final Map<String, Versioned> objects = new HashMap<>();
    private boolean closed;

    ConfigurationFollower(Vertx vertx, PlatformClient platform, Consumer<FleetConfig> receiver) {
        this.vertx = vertx;
        this.platform = platform;
        this.receiver = receiver;
    }

    /**
     * An object as last seen.
     *
     * @param version version of its last write
     * @param text YAML text, or empty after a deletion
     * @param nonce mark of its last write
     */
    record Versioned(long version, Optional<String> text, String nonce) {}

    /** Returns the objects by key, deleted ones without text. */
    Map<String, Versioned> objects() {
        return Map.copyOf(objects);
    }

    /** Returns the version of a caller's contract, or 0 if there is none. */
    long version(String caller) {
        Versioned object = objects.get(ObjectKind.CONTRACT.key(caller));
        return object == null ? 0 : object.version();
    }

    void start() {
        list("");
    }

    void close() {
        closed = true;
    }

    private void list(String afterKey) {
        platform.list(ObjectKind.KEY_PREFIX, afterKey, PAGE_SIZE)
                .subscribe()
                .with(page -> listed(page), error -> retry());
    }

    private void listed(Page page) {
        String last = "";
        for (StoredObject object : page.objects()) {
            put(object.key(), object.version(), Optional.of(object.value()), object.nonce());
            last = object.key();
        }
        if (page.more()) {
            list(last);
        } else {
            publish();
            watch(page.storeVersion());
        }
    }

    private void watch(long fromVersion) {
        platform.watch(ObjectKind.KEY_PREFIX, fromVersion)
                .subscribe()
                .with(this::changed, error -> retry(), this::retry);
    }

    private void changed(Change change) {
        put(change.key(), change.version(), change.value(), change.nonce());
        publish();
    }

    private void retry() {
        if (!closed) {
            vertx.setTimer(RETRY_MS, ignored -> list(""));
        }
    }

    private void put(String key, long version, Optional<byte[]> value, String nonce) {
        Versioned known = objects.get(key);
        if (known == null || known.version() < version) {
            objects.put(
                    key, new Versioned(version, value.map(bytes -> new String(bytes, StandardCharsets.UTF_8)), nonce));
        }
    }

    private void publish() {
        long version =
                objects.values().stream().mapToLong(Versioned::version).max().orElse(0);
        Map<String, String> texts = new HashMap<>();
        objects.forEach((key, object) -> object.text().ifPresent(text -> texts.put(key, text)));
        receiver.accept(ConfigAssembler.assemble(version, texts));
    }
}
