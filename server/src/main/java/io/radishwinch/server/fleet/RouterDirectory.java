package io.radishwinch.server.fleet;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformClient.StoredObject;
import io.radishwinch.server.Failures;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Registers this router in the platform and reads the other routers' addresses at the start.
 *
 * <p>The objects are read once, because the membership protocol spreads later changes.
 */
final class RouterDirectory {
    private static final System.Logger LOG = System.getLogger(RouterDirectory.class.getName());

    /** Maximum number of listed routers; any live one among them knows all others. */
    private static final int MAX_LISTED_ROUTERS = 500;

    private final PlatformClient platform;
    private final String prefix;
    private final MemberInfo self;
    private final Supplier<String> nonces;

    RouterDirectory(PlatformClient platform, String prefix, MemberInfo self, Supplier<String> nonces) {
        this.platform = platform;
        this.prefix = prefix;
        this.self = self;
        this.nonces = nonces;
    }

    /** Registers this router and passes the other registered routers to the receiver. */
    void registerAndList(Consumer<Collection<Seed>> receiver) {
        register();
        platform.list(prefix, "", MAX_LISTED_ROUTERS)
                .subscribe()
                .with(page -> receiver.accept(seeds(page.objects())), error -> logFailure("read", error));
    }

    /** Registers this router; called again after the store may have lost the registration. */
    void register() {
        write(PlatformClient.ABSENT);
    }

    private void write(long version) {
        platform.put(prefix + self.id(), version, encodeSelf(), nonces.get())
                .subscribe()
                .with(result -> onPutResult(version, result), error -> logFailure("write", error));
    }

    private void onPutResult(long version, PlatformClient.PutResult result) {
        boolean isFirstAttempt = version == PlatformClient.ABSENT;
        if (isFirstAttempt && result instanceof PlatformClient.PutResult.Conflict conflict) {
            conflict.current()
                    .filter(current -> !Arrays.equals(current.value(), encodeSelf()))
                    .ifPresent(current -> write(current.version()));
        }
    }

    private byte[] encodeSelf() {
        return (self.dataCentre() + " " + self.address().host() + " "
                        + self.address().port())
                .getBytes(StandardCharsets.UTF_8);
    }

    private static void logFailure(String operation, Throwable error) {
        LOG.log(
                System.Logger.Level.WARNING,
                "failed to {0} the router directory: {1}",
                operation,
                Failures.describe(error));
    }

    private List<Seed> seeds(List<StoredObject> objects) {
        List<Seed> seeds = new ArrayList<>();
        for (StoredObject object : objects) {
            String id = object.key().substring(prefix.length());
            if (!id.equals(self.id())) {
                decode(object.value()).ifPresent(entry -> seeds.add(new Seed(id, entry.dataCentre, entry.address)));
            }
        }
        return seeds;
    }

    private record RouterEntry(String dataCentre, Address address) {}

    private static Optional<RouterEntry> decode(byte[] value) {
        String[] parts = new String(value, StandardCharsets.UTF_8).split(" ", -1);
        try {
            return parts.length == 3
                    ? Optional.of(new RouterEntry(parts[0], new Address(parts[1], Integer.parseInt(parts[2]))))
                    : Optional.empty();
        } catch (IllegalArgumentException e) {
            // The object was not written by a router.
            return Optional.empty();
        }
    }
}
