package io.radishwinch.server.fleet;

import io.radishwinch.server.route.RoutingConfig;
import io.vavr.control.Either;

/** Keeps the newest configuration; a version never goes back. Used on the control thread. */
final class ConfigHolder {

    private final FleetDialect dialect;
    private final FleetLog log;
    private volatile RoutingConfig inEffect = RoutingConfig.none();
    private String lastError = "";
    private long latestStoreVersion = Long.MIN_VALUE;

    ConfigHolder(FleetDialect dialect, FleetLog log) {
        this.dialect = dialect;
        this.log = log;
    }

    /** Returns the configuration in force; safe for use by any thread. */
    RoutingConfig inEffect() {
        return inEffect;
    }

    /** Takes a configuration that the platform showed; returns whether it is newer than the one in force. */
    boolean offer(byte[] value, long storeVersion) {
        if (storeVersion <= latestStoreVersion) {
            // The store, its listings and the other routers show the same object again and again.
            return false;
        }
        latestStoreVersion = storeVersion;
        Either<String, RoutingConfig> read = dialect.decodeConfig(value);
        if (read.isLeft()) {
            if (!read.getLeft().equals(lastError)) {
                lastError = read.getLeft();
                log.stateChanged("config-unreadable", dialect.configKey(), lastError);
            }
            return false;
        }
        RoutingConfig offered = read.get();
        if (offered.version() <= inEffect.version()) {
            return false;
        }
        log.stateChanged(
                "config-in-force",
                dialect.configKey(),
                "version " + offered.version() + " at store version " + storeVersion + " replaces "
                        + inEffect.version());
        inEffect = offered;
        return true;
    }
}
