package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.OutgoingFrame;
import io.radishwinch.cluster.PeerListener;
import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.cluster.platform.InMemoryPlatform;
import io.radishwinch.cluster.platform.VirtualScheduler;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.protocol.generated.Message;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a starting router that takes part of the configuration for the whole one. */
class ConfigurationFollowerTest {
    private static final Set<String> CALLERS = Set.of("a", "b", "c");
    private static final String KEY = ObjectKind.CONTRACT.key("a");

    private final VirtualScheduler scheduler = new VirtualScheduler(1_000_000);
    private final InMemoryPlatform platform = new InMemoryPlatform(scheduler, new Random(1));
    private final Map<Address, PeerNode> nodes = new TreeMap<>(java.util.Comparator.comparing(Address::toString));
    private final List<FleetConfig> assembled = new ArrayList<>();
    private final PeerNode peer = new PeerNode("r1", "dc", address(1), 1_000_000, 1);
    private final PeerNode starting = new PeerNode("r2", "dc", address(2), 1_000_000, 2);
    private final ConfigurationFollower follower =
            new ConfigurationFollower(platform, scheduler, new Random(2), starting, scheduler::nowMs, assembled::add);
    private boolean areDigestsLost = true;

    @BeforeEach
    void prepare() {
        CALLERS.stream().sorted().forEach(caller -> platform.put(
                        ObjectKind.CONTRACT.key(caller), 0, contract(caller), caller)
                .subscribe()
                .with(ignored -> {}));
        scheduler.advance(1_000);
        platform.faults().setDown(true);
        starting.addListener(new PeerListener() {
            @Override
            public void configurationChanged(ConfigurationObject object) {
                follower.markChanged();
            }
        });
        nodes.put(address(1), peer);
        nodes.put(address(2), starting);
        List<Seed> seeds = List.of(new Seed("r1", "dc", address(1)), new Seed("r2", "dc", address(2)));
        nodes.values().forEach(node -> deliver(node.join(seeds, scheduler.nowMs())));
    }

    private static Address address(int index) {
        return new Address("10.0.0." + index, 7_400);
    }

    private static byte[] contract(String caller) {
        return ("schema: contract/v1\ncaller: " + caller + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private void listAtPeer() {
        List<ConfigurationObject> listing = platform.contents().values().stream()
                .map(object -> new ConfigurationObject(object.key(), object.version(), object.value()))
                .toList();
        peer.offerConfigurationListing(ObjectKind.KEY_PREFIX, listing, platform.storeVersion(), scheduler.nowMs());
    }

    private void offerPartAtPeer() {
        peer.offerConfiguration(KEY, platform.contents().get(KEY).version(), contract("a"), scheduler.nowMs());
    }

    private void deliver(List<OutgoingFrame> frames) {
        for (OutgoingFrame next : frames) {
            boolean isDigest = next.frame().getMessage().getSetField() == Message._Fields.DIGEST;
            if (!isDigest || !areDigestsLost) {
                deliver(nodes.get(next.destination()).receive(next.frame(), scheduler.nowMs()));
            }
        }
    }

    private void runFor(long durationMs) {
        for (long endMs = scheduler.nowMs() + durationMs; scheduler.nowMs() < endMs; ) {
            scheduler.advance(PeerNode.TICK_INTERVAL_MS);
            nodes.values().forEach(node -> deliver(node.tick(scheduler.nowMs())));
            follower.tick();
        }
    }

    private void assertOnlyWholeConfigurations() {
        assertThat(assembled)
                .isNotEmpty()
                .allSatisfy(config -> assertThat(config.contracts().keySet()).isEqualTo(CALLERS));
    }

    /** Guards against 401 for callers whose contract has not arrived, at a router that received another one. */
    @Test
    void anObjectThatAPeerPushesBeforeTheOthersIsNotInEffectAlone() {
        offerPartAtPeer();
        runFor(1_000);
        assertThat(starting.configuration().object(KEY)).isPresent();
        assertThat(assembled).isEmpty();
        listAtPeer();
        areDigestsLost = false;
        runFor(4_000);
        assertOnlyWholeConfigurations();
    }

    /** Guards against two routers that take the same part of the configuration for the whole one. */
    @Test
    void aMatchWithAnIncompleteRouterPutsNoPartInEffect() {
        areDigestsLost = false;
        offerPartAtPeer();
        runFor(4_000);
        assertThat(starting.isSynchronised()).isTrue();
        assertThat(assembled).isEmpty();
        listAtPeer();
        runFor(4_000);
        assertOnlyWholeConfigurations();
    }

    /** Guards against a router that waits for good because it never matches a peer. */
    @Test
    void aRouterThatMatchesNoPeerListsTheConfiguration() {
        platform.faults().setDown(false);
        offerPartAtPeer();
        runFor(PeerNode.INITIAL_SYNC_TIMEOUT_MS + 1_000);
        assertThat(starting.isSynchronised()).isFalse();
        assertOnlyWholeConfigurations();
    }
}
