package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.protocol.generated.MemberState;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.proxy.EndpointContact;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PeerDirectoryTest {
    private static final int PORT = 7_340;

    private long nowMs = 10_000;
    private final PeerDirectory directory = new PeerDirectory(
            "a", OptionalInt.of(PORT), null, task -> {}, () -> nowMs, new FleetLog(() -> 0), new RouterMetrics());

    private void setPeers(int local, int remote) {
        List<MemberInfo> peers = new ArrayList<>();
        for (int i = 0; i < local + remote; i++) {
            String dataCentre = i < local ? "a" : "b";
            peers.add(new MemberInfo(dataCentre + i, dataCentre, new Address("10.0.0." + i, 1), 1, MemberState.ALIVE));
        }
        directory.setPeers(peers);
    }

    private String choose(Set<String> excludedIds) {
        EndpointContact contact = directory.choose(excludedIds).orElseThrow();
        assertThat(contact.port()).isEqualTo(PORT);
        return contact.endpointId();
    }

    @Test
    void routersOfTheOwnDataCentreComeFirst() {
        setPeers(2, 20);
        assertThat(choose(Set.of())).startsWith("a");
        assertThat(choose(Set.of("a0", "a1"))).startsWith("b");
    }

    /** Guards against requests that are refused after three of many routers which are isolated like this one. */
    @Test
    void routersOfOtherDataCentresFollowTheFirstOneThatIsIsolatedAsWell() {
        setPeers(22, 46);
        Set<String> tried = new HashSet<>();
        String first = choose(tried);
        directory.markUnavailable(first);
        tried.add(first);
        assertThat(choose(tried)).startsWith("b");
        assertThat(choose(Set.of())).startsWith("b");
        nowMs += 1_000;
        assertThat(choose(Set.of())).startsWith("a");
    }

    @Test
    void theOtherRoutersOfTheOnlyDataCentreAreStillTried() {
        setPeers(3, 0);
        directory.markUnavailable("a0");
        assertThat(choose(Set.of())).isIn("a1", "a2");
        directory.markUnavailable("a1");
        directory.markUnavailable("a2");
        assertThat(directory.choose(Set.of())).isEmpty();
    }
}
