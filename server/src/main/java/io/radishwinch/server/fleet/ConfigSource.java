package io.radishwinch.server.fleet;

import io.radishwinch.server.route.RoutingConfig;
import io.vavr.control.Either;

/** Keeps the newest configuration; a version never goes back. Used on the control thread. */
final class ConfigSource {

    private final FleetDialect dialect;
    private final FleetLog log;
    private volatile RoutingConfig inForce = RoutingConfig.none();
    private String lastProblem = "";
    private long offeredStoreVersion = Long.MIN_VALUE;

    ConfigSource(FleetDialect dialect, FleetLog log) {
        this.dialect = dialect;
        this.log = log;
    }

    /** Returns the configuration in force; safe for use by any thread. */
    RoutingConfig inForce() {
        return inForce;
    }

    /** Takes a configuration that the platform showed; returns whether it is newer than the one in force. */
    boolean offer(byte[] value, long storeVersion) {
        if (storeVersion <= offeredStoreVersion) {
            // The store, its listings and the other routers show the same object again and again.
            return false;
        }
        offeredStoreVersion = storeVersion;
        Either<String, RoutingConfig> read = dialect.readConfig(value);
        if (read.isLeft()) {
            if (!read.getLeft().equals(lastProblem)) {
                lastProblem = read.getLeft();
                log.belief("config-unreadable", dialect.configKey(), lastProblem);
            }
            return false;
        }
        RoutingConfig offered = read.get();
        if (offered.version() <= inForce.version()) {
            return false;
        }
        log.belief(
                "config-in-force",
                dialect.configKey(),
                "version " + offered.version() + " at store version " + storeVersion + " replaces "
                        + inForce.version());
        inForce = offered;
        return true;
    }
}
