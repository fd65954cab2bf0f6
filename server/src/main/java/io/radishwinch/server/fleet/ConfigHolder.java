package io.radishwinch.server.fleet;

import io.radishwinch.server.route.RoutingConfig;
import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * Holds the configuration in effect; its version never decreases. Used on the control thread.
 *
 * <p>A request reads the configuration once and keeps it. It is published last and as one object; its announcement
 * precedes it.
 */
final class ConfigHolder {

    private final FleetDialect dialect;
    private final FleetLog log;
    private final Consumer<RoutingConfig> announcement;
    private volatile RoutingConfig inEffect = RoutingConfig.empty();
    private String lastError = "";
    private long latestVersion = Long.MIN_VALUE;

    /**
     * Creates a holder of an empty configuration.
     *
     * @param announcement receives each configuration before it is in effect
     */
    ConfigHolder(FleetDialect dialect, FleetLog log, Consumer<RoutingConfig> announcement) {
        this.dialect = dialect;
        this.log = log;
        this.announcement = announcement;
    }

    /** Returns the configuration in effect; safe for use by any thread. */
    RoutingConfig inEffect() {
        return inEffect;
    }

    /**
     * Offers an encoded configuration of the platform and returns whether it replaced the one in effect.
     *
     * @param version version that the configuration itself names
     */
    boolean offer(byte[] value, long version) {
        if (version <= latestVersion) {
            // Watches, listings and other routers deliver the same configuration several times.
            return false;
        }
        latestVersion = version;
        Either<String, RoutingConfig> decoded = dialect.decodeConfig(value);
        if (decoded.isLeft()) {
            if (!decoded.getLeft().equals(lastError)) {
                lastError = decoded.getLeft();
                log.stateChanged("config-unreadable", dialect.configKey(), lastError);
            }
            return false;
        }
        RoutingConfig offered = decoded.get();
        if (offered.version() <= inEffect.version()) {
            return false;
        }
        log.stateChanged(
                "config-in-force",
                dialect.configKey(),
                "version " + offered.version() + " replaces " + inEffect.version());
        announcement.accept(offered);
        inEffect = offered;
        return true;
    }
}
