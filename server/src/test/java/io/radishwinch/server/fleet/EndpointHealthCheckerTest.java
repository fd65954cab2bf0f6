package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ConnectTimeoutException;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.ServiceSpec;
import io.radishwinch.server.proxy.EndpointContact;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against health checks that never reach a verdict on an endpoint. */
class EndpointHealthCheckerTest {

    static final EndpointRegistry.EndpointStateListener NO_LISTENER = new EndpointRegistry.EndpointStateListener() {
        @Override
        public void endpointLeaving(String endpointId) {}

        @Override
        public void endpointUnreachable(String endpointId) {}
    };

    private final List<Event> events = new ArrayList<>();
    private final List<UniEmitter<? super Optional<StatusReport>>> pendingChecks = new ArrayList<>();
    private final FleetLog log = new FleetLog(() -> 0);
    private final EndpointRegistry registry = new EndpointRegistry(events::add, NO_LISTENER, log, 2_500);
    private final EndpointReachability reachability = new EndpointReachability(
            new SilentEndpoints(), "dc", registry::joinedContacts, new Random(1), () -> this.nowMs, isolated -> {});
    private final EndpointHealthChecker checker = new EndpointHealthChecker(
            new SilentEndpoints(), registry, id -> false, reachability, log, () -> this.nowMs);
    private long nowMs;
    private boolean isRequestFailing;

    /** Endpoints whose checks end when the test ends them. */
    private final class SilentEndpoints extends UnsupportedEndpointControl {
        @Override
        public Uni<Optional<StatusReport>> requestStatus(EndpointContact contact) {
            if (isRequestFailing) {
                throw new IllegalArgumentException("no request to " + contact);
            }
            return Uni.createFrom().emitter(pendingChecks::add);
        }
    }

    private void failCheckAfter(long durationMs) {
        nowMs += durationMs;
        pendingChecks.remove(0).fail(new IllegalStateException("no response"));
    }

    private boolean isRemoved() {
        return events.stream().anyMatch(Event.EndpointRemoved.class::isInstance);
    }

    private void join() {
        registry.configure(
                new FleetConfig(1, Map.of(), Map.of(), Map.of("s", new ServiceSpec("s", 1_000, List.of())), Map.of()),
                0);
        registry.applyEntry(
                "e", new EndpointEntry("e", 7, "s", "10.0.0.1", 80, "dc", "", 8, false, Optional.empty()), 0);
    }

    @Test
    void anEndpointIsUnreachableAfterASecondLateFailure() {
        join();
        checker.check("e@7");
        failCheckAfter(1_500);
        assertThat(isRemoved()).isFalse();
        failCheckAfter(1_500);
        assertThat(isRemoved()).isTrue();
        assertThat(pendingChecks).isEmpty();
    }

    @Test
    void aFailureInTimeCountsAtOnce() {
        join();
        checker.check("e@7");
        failCheckAfter(300);
        assertThat(isRemoved()).isTrue();
    }

    /** Guards against a wait for endpoints that have ended, and against the loss of streams at silent ones. */
    @Test
    void onlyARefusedConnectionShowsThatAnEndpointHasEnded() {
        join();
        checker.check("e@7");
        pendingChecks.remove(0).fail(new IllegalStateException(new ConnectTimeoutException("connection timed out")));
        assertThat(events).last().isEqualTo(Event.EndpointRemoved.suspected("e@7"));
        checker.check("e@7");
        pendingChecks
                .remove(0)
                .fail(new IllegalStateException(new ConnectException("finishConnect(..) failed: Connection refused")));
        assertThat(events).last().isEqualTo(new Event.EndpointRemoved("e@7", false));
    }

    /** Failure: no check met the half second between two silences, and the endpoint counted as silent for over 2 s. */
    @Test
    void anEndpointThatRespondsForHalfASecondBetweenTwoSilencesIsInUseAgain() {
        join();
        for (int silentMs = 0; silentMs < 1_200; silentMs += 10) {
            checker.check("e@7");
            failCheckAfter(400);
            events.clear();
            checkBetweenSilences(nowMs + silentMs, nowMs + silentMs + 500);
            assertThat(events).as("after %d ms", silentMs).anyMatch(Event.EndpointJoined.class::isInstance);
        }
    }

    /** Runs ticks and checks of 400 ms up to the second silence. */
    private void checkBetweenSilences(long firstEndMs, long secondStartMs) {
        long sentAtMs = nowMs;
        while (nowMs < secondStartMs) {
            nowMs += 10;
            if (nowMs % 100 == 0) {
                boolean hadPending = !pendingChecks.isEmpty();
                checker.tick(nowMs);
                sentAtMs = hadPending ? sentAtMs : nowMs;
            }
            if (!pendingChecks.isEmpty() && nowMs >= firstEndMs) {
                pendingChecks.remove(0).complete(Optional.empty());
            } else if (!pendingChecks.isEmpty() && nowMs - sentAtMs >= 400) {
                pendingChecks.remove(0).fail(new IllegalStateException("no response"));
            }
        }
    }

    /** Guards against an endpoint that is never checked again because one check could not be sent. */
    @Test
    void anEndpointIsCheckedAgainAfterACheckThatCouldNotBeSent() {
        join();
        isRequestFailing = true;
        try {
            checker.check("e@7");
        } catch (IllegalArgumentException e) {
            assertThat(e).hasMessageContaining("no request");
        }
        isRequestFailing = false;
        checker.check("e@7");
        assertThat(pendingChecks).hasSize(1);
    }
}
