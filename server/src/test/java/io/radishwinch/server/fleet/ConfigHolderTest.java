package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.server.proxy.ProxyDialect;
import io.radishwinch.server.route.ConnectionLimits;
import io.radishwinch.server.route.RouteTable;
import io.radishwinch.server.route.RoutingConfig;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ConfigHolderTest {
    private final NumberDialect dialect = new NumberDialect();
    private final List<Long> versionsAtAnnouncement = new ArrayList<>();
    private final ConfigHolder source =
            new ConfigHolder(dialect, new FleetLog(() -> 0), announced -> recordAnnouncement());

    private void recordAnnouncement() {
        versionsAtAnnouncement.add(source.inEffect().version());
    }

    private boolean offer(String version, long storeVersion) {
        return source.offer(version.getBytes(StandardCharsets.UTF_8), storeVersion);
    }

    @Test
    void versionNeverDecreases() {
        assertThat(offer("3", 10)).isTrue();
        assertThat(offer("7", 12)).isTrue();
        assertThat(offer("3", 10)).isFalse();
        assertThat(offer("5", 14)).isFalse();
        assertThat(source.inEffect().version()).isEqualTo(7);
    }

    @Test
    void unchangedObjectIsDecodedOnce() {
        offer("3", 10);
        offer("3", 10);
        offer("3", 10);
        assertThat(dialect.reads).isEqualTo(1);
    }

    @Test
    void undecodableConfigurationLeavesThePreviousOneInEffect() {
        offer("3", 10);
        assertThat(offer("odd", 11)).isFalse();
        assertThat(source.inEffect().version()).isEqualTo(3);
        assertThat(offer("4", 12)).isTrue();
    }

    /** Guards against requests that are admitted under a configuration and reach the core before it. */
    @Test
    void aConfigurationIsAnnouncedBeforeItIsInEffect() {
        offer("3", 10);
        offer("odd", 11);
        offer("7", 12);
        assertThat(versionsAtAnnouncement).containsExactly(0L, 3L);
    }

    /** Dialect that encodes a configuration as its version number. */
    private static final class NumberDialect implements FleetDialect {
        private int reads;

        @Override
        public ProxyDialect proxy() {
            throw new UnsupportedOperationException();
        }

        @Override
        public String endpointPrefix() {
            return "endpoints/";
        }

        @Override
        public String configPrefix() {
            return "config/";
        }

        @Override
        public String configKey() {
            return "config/all";
        }

        @Override
        public String routerObjectPrefix() {
            return "own/";
        }

        @Override
        public Either<String, EndpointEntry> decodeEndpoint(String instanceId, byte[] value) {
            return Either.left("endpoints are not supported");
        }

        @Override
        public Either<String, Long> configVersion(byte[] value) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Either<String, RoutingConfig> decodeConfig(byte[] value) {
            reads++;
            try {
                long version = Long.parseLong(new String(value, StandardCharsets.UTF_8));
                return Either.right(new RoutingConfig(
                        version,
                        new RouteTable(List.of()),
                        FleetConfig.empty(),
                        Map.of(),
                        ConnectionLimits.defaults(),
                        Map.of()));
            } catch (NumberFormatException e) {
                return Either.left("not a number");
            }
        }
    }
}
