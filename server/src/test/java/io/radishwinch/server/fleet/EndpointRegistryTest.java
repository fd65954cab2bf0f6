package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.AcceleratorSpec;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.ServiceSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EndpointRegistryTest {
    private static final long READMISSION_MS = 2_500;
    private static final FleetConfig CONFIG = new FleetConfig(
            1,
            Map.of(),
            Map.of("m", new ModelSpec("m", 80, 1_000, 100, 1 << 20)),
            Map.of("s", new ServiceSpec("s", 1_000, List.of())),
            Map.of(
                    "m",
                    new EnginePoolSpec(900, 2, 14_000, 850, 0, Map.of("k", new AcceleratorSpec("k", 50_000, 1, 1)))));

    private static final EndpointRegistry.News NO_NEWS = new EndpointRegistry.News() {
        @Override
        public void leaving(String endpointId) {}

        @Override
        public void unreachable(String endpointId) {}
    };

    private final List<Event> events = new ArrayList<>();
    private final EndpointRegistry registry =
            new EndpointRegistry(events::add, NO_NEWS, new FleetLog(() -> 0), READMISSION_MS);

    @BeforeEach
    void configure() {
        registry.configure(CONFIG, 0);
    }

    private static EndpointEntry entry(String id, long incarnation, boolean leaving, LayerRange layers) {
        return new EndpointEntry(
                id, incarnation, "m", "10.0.0.1", 80, "dc", "k", 8, leaving, Optional.ofNullable(layers));
    }

    private List<Class<?>> kinds() {
        List<Class<?>> kinds = new ArrayList<>();
        events.forEach(event -> kinds.add(event.getClass()));
        events.clear();
        return kinds;
    }

    @Test
    void aListedEndpointJoinsWithItsLayers() {
        registry.listed("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        assertThat(kinds()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
        assertThat(registry.contact("e@7")).isPresent();
        assertThat(registry.endpointAt("10.0.0.1:80")).contains("e@7");
    }

    @Test
    void anEndpointThatStartsAgainUnderItsNameIsAnotherOne() {
        registry.listed("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        kinds();
        registry.listed("e", entry("e", 9, false, null), 100);
        assertThat(kinds())
                .containsExactly(Event.EndpointRemoved.class, Event.EndpointJoined.class, Event.LoadReported.class);
        assertThat(registry.entry("e@9")).isPresent();
    }

    @Test
    void aRemovedEndpointReceivesNothingNewButKeepsItsRunningWork() {
        registry.listed("e", entry("e", 7, false, null), 0);
        kinds();
        registry.unlisted("e", 100);
        assertThat(kinds()).containsExactly(Event.EndpointLeaving.class);
        registry.tick(15_000);
        assertThat(kinds()).isEmpty();
        registry.tick(30_000);
        assertThat(kinds()).containsExactly(Event.EndpointRemoved.class);
    }

    @Test
    void anEntryThatLapsesWhileThePlatformIsAwayIsKeptUntilTwoSecondsAfterItsReturn() {
        registry.listed("back", entry("back", 7, false, null), 0);
        registry.listed("gone", entry("gone", 7, false, null), 0);
        kinds();
        registry.platformReachable(false, 1_000);
        registry.platformReachable(true, 9_000);
        registry.unlisted("back", 9_100);
        registry.unlisted("gone", 9_100);
        registry.listed("back", entry("back", 7, false, null), 10_500);
        registry.tick(10_600);
        assertThat(kinds()).isEmpty();
        registry.tick(9_000 + READMISSION_MS);
        assertThat(events).containsExactly(new Event.EndpointLeaving("gone@7"));
    }

    @Test
    void anUnreadableEntryLeavesTheLastGoodOneInForce() {
        registry.listed("e", entry("e", 7, false, null), 0);
        kinds();
        registry.unreadable("e", "$.address: expected a text, found nothing");
        assertThat(kinds()).isEmpty();
        assertThat(registry.size()).isEqualTo(1);
    }

    @Test
    void anUnreachableEndpointIsAskedAgainAndJoinsWhenItAnswers() {
        registry.listed("e", entry("e", 7, false, new LayerRange(0, 10)), 0);
        kinds();
        registry.unreachable("e@7", "no report", 100);
        assertThat(events).containsExactly(new Event.EndpointRemoved("e@7", false));
        assertThat(registry.dueForRetry(200)).isEmpty();
        assertThat(registry.dueForRetry(1_000)).containsExactly("e@7");
        kinds();
        registry.reported(
                "e@7", new EndpointReport(7, Optional.of(new LayerRange(0, 10)), false, 1, List.of(), 1), 1_050);
        assertThat(kinds()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    @Test
    void aPlainServiceThatAnswersWithoutAReportIsReachable() {
        registry.listed("e", entry("e", 7, false, null), 0);
        registry.unreachable("e@7", "no report", 100);
        kinds();
        registry.answered("e@7", 700);
        assertThat(kinds()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }

    @Test
    void aReportOfALaterLifetimeSaysNothingOfTheEarlierOne() {
        registry.listed("e", entry("e", 7, false, null), 0);
        registry.unreachable("e@7", "no report", 100);
        kinds();
        registry.reported("e@7", new EndpointReport(8, Optional.empty(), false, 0, List.of(), 1), 1_050);
        assertThat(kinds()).isEmpty();
    }

    @Test
    void anEndpointOfAnUnknownServiceJoinsOnceTheConfigurationNamesIt() {
        EndpointRegistry early = new EndpointRegistry(events::add, NO_NEWS, new FleetLog(() -> 0), READMISSION_MS);
        early.listed("e", entry("e", 7, false, null), 0);
        assertThat(kinds()).isEmpty();
        early.configure(CONFIG, 10);
        assertThat(kinds()).containsExactly(Event.EndpointJoined.class, Event.LoadReported.class);
    }
}
