package io.radishwinch.server;

import io.micrometer.core.instrument.Counter;
import io.radishwinch.cluster.PeerListener;
import io.radishwinch.cluster.configuration.RejectedObject;
import io.radishwinch.server.metrics.RouterMetrics;
import java.util.function.BiConsumer;

/** Counts and reports configuration objects that the platform holds and that do not take effect. */
public final class ConfigurationRejections implements PeerListener {
    private final Counter rejections;
    private final BiConsumer<String, String> reporter;

    /**
     * Creates a listener.
     *
     * @param reporter receives the key of each rejected object, and its version with the reason
     */
    public ConfigurationRejections(RouterMetrics metrics, BiConsumer<String, String> reporter) {
        this.reporter = reporter;
        rejections = metrics.counter(
                "radishwinch.config.rejections", "versions of configuration objects that are invalid or above a limit");
    }

    @Override
    public void configurationRejected(RejectedObject object) {
        rejections.increment();
        reporter.accept(object.key(), "version " + object.version() + ": " + object.problem());
    }
}
