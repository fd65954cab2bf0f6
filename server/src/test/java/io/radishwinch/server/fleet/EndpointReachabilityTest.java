package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.server.proxy.EndpointContact;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against endpoints that are taken out of use, one by one, by a router that reaches none of them. */
class EndpointReachabilityTest {
    private static final long RECOVERY_MS = 300;

    private final List<UniEmitter<? super Void>> pendingConnects = new ArrayList<>();
    private final List<String> probed = new ArrayList<>();
    private final List<Boolean> changes = new ArrayList<>();
    private final List<String> lost = new ArrayList<>();
    private List<EndpointContact> contacts = IntStream.range(0, 8)
            .mapToObj(i -> new EndpointContact("e" + i, "e" + i, "127.0.0.1", i))
            .toList();
    private long nowMs = 10_000;
    private boolean isConnectFailing;
    private final EndpointReachability reachability = new EndpointReachability(
            new PendingEndpoints(), "local", this::contacts, new Random(1), () -> nowMs, changes::add);

    /** Endpoints whose connections end when the test ends them. */
    private final class PendingEndpoints extends UnsupportedEndpointControl {
        @Override
        public Uni<Void> connect(EndpointContact contact) {
            if (isConnectFailing) {
                throw new IllegalArgumentException("no connection to " + contact);
            }
            probed.add(contact.endpointId());
            return Uni.createFrom().emitter(pendingConnects::add);
        }
    }

    /** Returns all endpoints, of which the last three are in the router's data centre. */
    private List<EndpointContact> contacts(Predicate<String> dataCentres) {
        return IntStream.range(0, contacts.size())
                .filter(i -> dataCentres.test(i < contacts.size() - 3 ? "remote" : "local"))
                .mapToObj(contacts::get)
                .toList();
    }

    private void lose(String endpointId) {
        reachability.confirm(endpointId, () -> lost.add(endpointId));
    }

    private void endConnects(boolean succeed, long durationMs) {
        nowMs += durationMs;
        List<UniEmitter<? super Void>> ended = List.copyOf(pendingConnects);
        pendingConnects.clear();
        for (UniEmitter<? super Void> connect : ended) {
            if (succeed) {
                connect.complete(null);
            } else {
                connect.fail(new IllegalStateException("connect failed"));
            }
        }
    }

    @Test
    void anEndpointIsLostOnceAnotherOneResponds() {
        lose("e1");
        lose("e2");
        assertThat(lost).isEmpty();
        endConnects(true, 1);
        assertThat(lost).containsExactly("e1", "e2");
        lose("e3");
        assertThat(lost).contains("e3");
        assertThat(changes).isEmpty();
    }

    /** Guards against a router that counts as isolated because the other data centres are cut off. */
    @Test
    void endpointsOfTheOwnDataCentreAreAmongThoseThatAreTried() {
        lose("e1");
        assertThat(probed)
                .hasSize(4)
                .filteredOn(List.of("e5", "e6", "e7")::contains)
                .hasSizeGreaterThanOrEqualTo(2);
    }

    @Test
    void aRouterThatReachesNoOtherEndpointIsIsolatedAndLosesNone() {
        lose("e1");
        endConnects(false, 400);
        assertThat(reachability.isIsolated()).isTrue();
        lose("e2");
        assertThat(lost).isEmpty();
        assertThat(pendingConnects).isEmpty();
    }

    @Test
    void anIsolatedRouterIsBackOnceAnyEndpointAcceptsAConnection() {
        lose("e1");
        endConnects(false, 400);
        reachability.tick(nowMs);
        assertThat(pendingConnects).isEmpty();
        nowMs += RECOVERY_MS;
        reachability.tick(nowMs);
        endConnects(false, 400);
        assertThat(reachability.isIsolated()).isTrue();
        nowMs += RECOVERY_MS;
        reachability.tick(nowMs);
        pendingConnects.get(1).complete(null);
        assertThat(changes).containsExactly(true, false);
        endConnects(false, 400);
        assertThat(reachability.isIsolated()).isFalse();
    }

    @Test
    void aProcessThatWasPausedDuringItsProbesIsNotIsolated() {
        lose("e1");
        endConnects(false, 5_000);
        assertThat(reachability.isIsolated()).isFalse();
        assertThat(lost).isEmpty();
    }

    @Test
    void tooFewOtherEndpointsTellNothingAboutTheLink() {
        contacts = contacts.subList(0, 2);
        lose("e1");
        assertThat(lost).containsExactly("e1");
        assertThat(pendingConnects).isEmpty();
    }

    /** Guards against lost endpoints that stay in use for good because one probe could not be sent. */
    @Test
    void endpointsAreLostAgainAfterAProbeThatCouldNotBeSent() {
        isConnectFailing = true;
        try {
            lose("e1");
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageContaining("no connection");
        }
        isConnectFailing = false;
        nowMs += RECOVERY_MS;
        reachability.tick(nowMs);
        endConnects(true, 1);
        nowMs += 1_000;
        lose("e2");
        endConnects(true, 1);
        assertThat(lost).contains("e2");
    }

    /** Guards against a lost endpoint that stays in use because another one could not be taken out of use. */
    @Test
    void anEndpointIsLostAlthoughTheLossOfAnotherOneCannotBeHandled() {
        reachability.confirm("e1", () -> {
            throw new IllegalStateException("loss of e1 cannot be handled");
        });
        lose("e2");
        endConnects(true, 1);
        assertThat(lost).containsExactly("e2");
    }
}
