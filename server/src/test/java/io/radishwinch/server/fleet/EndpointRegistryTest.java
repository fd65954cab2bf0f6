package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.AcceleratorSpec;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.ServiceSpec;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private static final long RELIST_GRACE_MS = 2_500;
    private static final FleetConfig CONFIG = new FleetConfig(
            1,
            Map.of(),
            Map.of("m", new ModelSpec("m", 80, 1_000, 100, 1 << 20)),
            Map.of("s", new ServiceSpec("s", 1_000, List.of())),
            Map.of(
                    "m",
                    new EnginePoolSpec(900, 2, 14_000, 850, 0, Map.of("k", new AcceleratorSpec("k", 50_000, 1, 1)))));

    private static final EndpointRegistry.EndpointStateListener NO_LISTENER =
            new EndpointRegistry.EndpointStateListener() {
                @Override
                public void endpointLeaving(String endpointId) {}

                @Override
                public void endpointUnreachable(String endpointId) {}
            };

    private final List<Event> events = new ArrayList<>();
    private final EndpointRegistry registry =
            new EndpointRegistry(events::add, NO_LISTENER, new FleetLog(() -> 0), RELIST_GRACE_MS);

    @BeforeEach
    void configure() {
        registry.configure(CONFIG, 0);
    }

    private static EndpointEntry entry(String id, long incarnation, boolean leaving, LayerRange layers) {
        return new EndpointEntry(
                id, incarnation, "m", "10.0.0.1", 80, "dc", "k", 8, leaving, Optional.ofNullable(layers));
    }

    private List<Class<?>> takeEventTypes() {
        List<Class<?>> kinds = new ArrayList<>();
        events.forEach(event -> kinds.add(event.getClass()));
        events.clear();
        return kinds;
    }

    @Test
    void listedEndpointJoinsWithItsLayers() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
        assertThat(registry.contact("e@7")).isPresent();
        assertThat(registry.endpointAt("10.0.0.1:80")).contains("e@7");
    }

    @Test
    void restartedEndpointGetsANewId() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        takeEventTypes();
        registry.applyEntry("e", entry("e", 9, false, null), 100);
        assertThat(takeEventTypes())
                .containsExactly(Event.EndpointRemoved.class, Event.EndpointJoined.class, Event.LoadReported.class);
        assertThat(registry.entry("e@9")).isPresent();
    }

    /** Guards against a begun stream that waits because an endpoint that ended before this router started counts. */
    @Test
    void aLaterLifetimeProvesTheEndOfAnUnknownOne() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        assertThat(registry.isFollowedByLaterLifetime("e@5")).isTrue();
        assertThat(registry.isFollowedByLaterLifetime("e@5~1")).isTrue();
        assertThat(registry.isFollowedByLaterLifetime("e@7")).isFalse();
        assertThat(registry.isFollowedByLaterLifetime("e@9")).isFalse();
        assertThat(registry.isFollowedByLaterLifetime("other@5")).isFalse();
    }

    @Test
    void removedEndpointGetsNoNewWorkAndKeepsRunningWork() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        takeEventTypes();
        registry.applyRemoval("e", 100);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointLeaving.class);
        registry.tick(15_000);
        assertThat(takeEventTypes()).isEmpty();
        registry.tick(30_000);
        // Its entry may have expired while it runs, which proves no end.
        assertThat(events).containsExactly(Event.EndpointRemoved.unlisted("e@7"));
    }

    /** Guards against attempts at an endpoint that was removed from the list and returned in a new lifetime. */
    @Test
    void endpointThatHasLeftEndsWithItsNextLifetime() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        registry.applyRemoval("e", 100);
        takeEventTypes();
        registry.applyEntry("e", entry("e", 7, false, null), 500);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
        registry.applyRemoval("e", 600);
        takeEventTypes();
        registry.applyEntry("e", entry("e", 9, false, null), 1_100);
        assertThat(events).first().isEqualTo(new Event.EndpointRemoved("e@7~1", false));
    }

    @Test
    void entryThatExpiredDuringAnOutageIsKeptForTheGracePeriod() {
        registry.applyEntry("back", entry("back", 7, false, null), 0);
        registry.applyEntry("gone", entry("gone", 7, false, null), 0);
        takeEventTypes();
        registry.setPlatformReachable(false, 1_000);
        registry.setPlatformReachable(true, 9_000);
        registry.applyRemoval("back", 9_100);
        registry.applyRemoval("gone", 9_100);
        registry.applyEntry("back", entry("back", 7, false, null), 10_500);
        registry.tick(10_600);
        assertThat(takeEventTypes()).isEmpty();
        registry.tick(9_000 + RELIST_GRACE_MS);
        assertThat(events).containsExactly(new Event.EndpointLeaving("gone@7"));
    }

    /** Guards against a restored store that lists endpoints which have left, or an earlier lifetime of one. */
    @Test
    void endpointThatHadLeftBeforeARestoreStaysOutOfUseUntilItsEntryCannotBeAnOldOne() {
        registry.applyEntry("left", entry("left", 7, false, null), 0);
        registry.applyEntry("restarted", entry("restarted", 5, false, null), 0);
        registry.applyEntry("restarted", entry("restarted", 7, false, null), 0);
        registry.applyEntry("left", entry("left", 7, true, null), 100);
        takeEventTypes();
        registry.onStoreRestored(1_000);
        registry.applyEntry("left", entry("left", 7, false, null), 1_000);
        registry.applyEntry("restarted", entry("restarted", 5, false, null), 1_000);
        registry.tick(1_100);
        assertThat(takeEventTypes()).isEmpty();
        registry.applyEntry("restarted", entry("restarted", 7, false, null), 2_000);
        registry.applyRemoval("left", 4_500);
        registry.tick(12_000);
        assertThat(takeEventTypes()).isEmpty();
    }

    @Test
    void endpointThatTheRestoredStoreStillListsAfterTheHoldIsUsedAgain() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        registry.applyRemoval("e", 100);
        registry.onStoreRestored(1_000);
        registry.applyEntry("e", entry("e", 7, false, null), 1_000);
        registry.tick(1_100);
        takeEventTypes();
        registry.tick(12_000);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    @Test
    void endpointThatTheRestoredStoreLacksIsKeptForTheGracePeriod() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        takeEventTypes();
        registry.onStoreRestored(1_000);
        registry.applyRemoval("e", 1_000);
        registry.tick(1_000 + RELIST_GRACE_MS - 1);
        assertThat(takeEventTypes()).isEmpty();
        registry.tick(1_000 + RELIST_GRACE_MS);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointLeaving.class);
    }

    @Test
    void lifetimeThatWasForgottenLongBeforeARestoreStaysOutOfUse() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        registry.applyRemoval("e", 100);
        registry.tick(30_000);
        takeEventTypes();
        registry.onStoreRestored(31_000);
        registry.applyEntry("e", entry("e", 7, false, null), 31_000);
        assertThat(takeEventTypes()).isEmpty();
    }

    /** Guards against a list that lags and returns an endpoint to use that has announced that it leaves. */
    @Test
    void endpointThatAnnouncedItsLeavingStaysOutOfUseUntilItRestarts() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        takeEventTypes();
        registry.markLeavingByItself("e@7", 100);
        registry.markLeavingByItself("e@7", 200);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointLeaving.class);
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 300);
        registry.applyRemoval("e", 400);
        registry.applyEntry("e", entry("e", 7, false, null), 500);
        assertThat(takeEventTypes()).isEmpty();
        registry.tick(30_000);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointRemoved.class);
        registry.applyEntry("e", entry("e", 7, false, null), 60_000);
        assertThat(takeEventTypes()).isEmpty();
        registry.applyEntry("e", entry("e", 9, false, null), 61_000);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    @Test
    void unreadableEntryLeavesThePreviousOneInEffect() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        takeEventTypes();
        registry.markUnreadable("e", "$.address: expected a text, found nothing");
        assertThat(takeEventTypes()).isEmpty();
        assertThat(registry.activeEndpointCount()).isEqualTo(1);
        assertThat(registry.unreadableCount()).isEqualTo(1);
        registry.applyEntry("e", entry("e", 7, false, null), 300);
        assertThat(registry.unreadableCount()).isZero();
    }

    /** Guards against a placement that fails at each run because an endpoint names layers that its model lacks. */
    @Test
    void endpointWithLayersBeyondItsModelDoesNotJoin() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 81)), 0);
        registry.applyEntry("huge", entry("huge", 7, false, new LayerRange(3, Integer.MAX_VALUE)), 0);
        assertThat(takeEventTypes()).isEmpty();
        assertThat(registry.unreadableCount()).isEqualTo(2);
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 80)), 100);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
        assertThat(registry.unreadableCount()).isEqualTo(1);
    }

    /** Guards against the same for layers that a joined endpoint names later, in its entry or its status report. */
    @Test
    void joinedEndpointThatNamesLayersBeyondItsModelHoldsNone() {
        Optional<LayerRange> beyond = Optional.of(new LayerRange(0, 81));
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        registry.applyEntry("f", entry("f", 7, false, new LayerRange(0, 10)), 0);
        events.clear();
        registry.applyEntry("e", entry("e", 7, false, beyond.get()), 100);
        registry.applyStatusReport("f@7", new StatusReport(7, beyond, false, 1, List.of(), 1), 100);
        assertThat(events).hasSize(2).allSatisfy(event -> assertThat(
                        ((Event.LoadReported) event).report().holdings())
                .isEmpty());
    }

    /** Guards against an entry whose handling fails and ends that of the entries listed after it. */
    @Test
    void entryWhoseDecodingFailsIsUnreadable() {
        registry.applyEncoded(
                "e",
                () -> {
                    throw new IllegalStateException("fault of a decoder");
                },
                0);
        registry.applyEncoded("f", () -> Either.right(entry("f", 7, false, null)), 0);
        assertThat(registry.activeEndpointCount()).isEqualTo(1);
        assertThat(registry.unreadableCount()).isEqualTo(1);
    }

    /** Failure: each silence of a sound endpoint doubled the wait before the checks of the next one, up to 4 s. */
    @Test
    void theBackoffOfHealthChecksStartsAnewAfterTheEndpointHasResponded() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        for (long nowMs = 0; nowMs <= 30_000; nowMs += 10_000) {
            registry.markUnreachable("e@7", "no report", nowMs);
            assertThat(registry.takeDueHealthChecks(nowMs + 499, id -> true)).isEmpty();
            assertThat(registry.takeDueHealthChecks(nowMs + 500, id -> true)).containsExactly("e@7");
            registry.markReachable("e@7", nowMs + 600);
        }
    }

    /** Failure: checks that met several silences of a sound endpoint backed off, and it was out of use for 12 s. */
    @Test
    void healthChecksBackOffOnlyOnceAnEndpointIsSilentForLongerThanASoundOne() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        registry.markUnreachable("e@7", "no report", 0);
        List<Long> checksAtMs = LongStream.rangeClosed(0, 15_000)
                .filter(nowMs ->
                        !registry.takeDueHealthChecks(nowMs, id -> true).isEmpty())
                .boxed()
                .toList();
        assertThat(checksAtMs).containsExactly(500L, 1_000L, 1_500L, 2_000L, 3_000L, 5_000L, 9_000L, 13_000L);
    }

    /** Failure: the check of an endpoint that had asked for a pause was dropped, and the next one came 500 ms later. */
    @Test
    void theCheckOfAnEndpointThatCannotBeCheckedNowStaysDue() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        registry.markUnreachable("e@7", "no report", 0);
        assertThat(registry.takeDueHealthChecks(500, id -> false)).isEmpty();
        assertThat(registry.takeDueHealthChecks(600, id -> true)).containsExactly("e@7");
    }

    /** Failure: an endpoint that left was not checked after a silence, and counted as ended while it ran attempts. */
    @Test
    void anEndpointThatLeavesAndIsSilentIsCheckedUntilItsSuccessor() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        registry.applyRemoval("e", 100);
        registry.markUnreachable("e@7", "no report", 200);
        takeEventTypes();
        assertThat(registry.takeDueHealthChecks(700, id -> true)).containsExactly("e@7");
        registry.markReachable("e@7", 1_000);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointResponded.class);
        registry.applyEntry("e", entry("e", 9, false, new LayerRange(0, 10)), 1_500);
        assertThat(registry.takeDueHealthChecks(2_000, id -> true)).isEmpty();
    }

    @Test
    void unreachableEndpointIsCheckedAgainAndJoinsWhenItResponds() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        takeEventTypes();
        registry.markUnreachable("e@7", "no report", 100);
        assertThat(events).containsExactly(Event.EndpointRemoved.suspected("e@7"));
        assertThat(registry.takeDueHealthChecks(200, id -> true)).isEmpty();
        assertThat(registry.takeDueHealthChecks(1_000, id -> true)).containsExactly("e@7");
        takeEventTypes();
        registry.applyStatusReport(
                "e@7", new StatusReport(7, Optional.of(new LayerRange(0, 10)), false, 1, List.of(), 1), 1_050);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    @Test
    void plainServiceWithoutStatusReportIsReachable() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        registry.markUnreachable("e@7", "no report", 100);
        takeEventTypes();
        registry.markReachable("e@7", 700);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    @Test
    void statusReportOfAnotherIncarnationIsIgnored() {
        registry.applyEntry("e", entry("e", 7, false, null), 0);
        registry.markUnreachable("e@7", "no report", 100);
        takeEventTypes();
        registry.applyStatusReport("e@7", new StatusReport(8, Optional.empty(), false, 0, List.of(), 1), 1_050);
        assertThat(takeEventTypes()).isEmpty();
    }

    /** Guards against a late copy of a status report that returns an endpoint to layers that it no longer holds. */
    @Test
    void statusReportFromBeforeALaterOrderChangesNoLayers() {
        StatusReport beforeOrder = new StatusReport(7, Optional.of(new LayerRange(0, 10)), false, 1, List.of(), 1);
        StatusReport afterOrder = new StatusReport(7, Optional.of(new LayerRange(10, 20)), false, 2, List.of(), 1);
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        registry.applyStatusReport("e@7", beforeOrder, 100);
        registry.applyStatusReport("e@7", afterOrder, 200);
        takeEventTypes();
        registry.applyStatusReport("e@7", beforeOrder, 300);
        assertThat(registry.entry("e@7").orElseThrow().layers()).contains(new LayerRange(10, 20));
        assertThat(takeEventTypes()).isEmpty();
        registry.markUnreachable("e@7", "no report", 400);
        takeEventTypes();
        registry.applyStatusReport("e@7", beforeOrder, 500);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    @Test
    void endpointOfAnUnknownServiceJoinsOnceTheServiceIsConfigured() {
        EndpointRegistry unconfigured =
                new EndpointRegistry(events::add, NO_LISTENER, new FleetLog(() -> 0), RELIST_GRACE_MS);
        unconfigured.applyEntry("e", entry("e", 7, false, null), 0);
        assertThat(takeEventTypes()).isEmpty();
        unconfigured.configure(CONFIG, 10);
        assertThat(takeEventTypes()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    /** Guards against streams that cannot resume because the layers of a deleted model count as unloaded. */
    @Test
    void aDeletedModelKeepsTheLayersOfItsEndpoints() {
        registry.applyEntry("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        takeEventTypes();
        registry.configure(new FleetConfig(2, Map.of(), Map.of(), Map.of(), Map.of()), 100);
        assertThat(events).isEmpty();
        registry.configure(CONFIG, 200);
        assertThat(takeEventTypes()).containsExactly(Event.LoadReported.class);
    }
}
