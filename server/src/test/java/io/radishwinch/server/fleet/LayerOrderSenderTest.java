package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.VirtualScheduler;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EngineOrder;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.ServiceSpec;
import io.radishwinch.server.proxy.EndpointContact;
import io.smallrye.mutiny.Uni;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import org.junit.jupiter.api.Test;

class LayerOrderSenderTest {
    private static final LayerRange LAYERS = new LayerRange(0, 6);

    private final VirtualScheduler scheduler = new VirtualScheduler(0);
    private final List<Event> events = new ArrayList<>();
    private final Queue<Optional<StatusReport>> responses = new ArrayDeque<>();
    private final FleetLog log = new FleetLog(scheduler::nowMs);
    private final EndpointRegistry registry =
            new EndpointRegistry(events::add, EndpointHealthCheckerTest.NO_LISTENER, log, 2_500);
    private final LayerOrderSender sender = new LayerOrderSender(
            new AcceptingEngine(), registry, scheduler, events::add, () -> {}, log, scheduler::nowMs);

    /** Accepts each order, and answers status checks with the responses of the test. */
    private final class AcceptingEngine extends UnsupportedEndpointControl {
        @Override
        public Uni<Optional<StatusReport>> requestStatus(EndpointContact contact) {
            return Uni.createFrom().item(responses.remove());
        }

        @Override
        public Uni<OrderResult> orderLayers(
                EndpointContact contact, LayerRange layers, EngineOrder.Handover handover, long acceptedOrders) {
            return Uni.createFrom().item(OrderResult.ACCEPTED);
        }
    }

    /** Guards against an engine that loses its streams because a refusal takes the place of a status report. */
    @Test
    void anEngineThatRespondsWithoutAReportIsCheckedAgain() {
        registry.configure(
                new FleetConfig(1, Map.of(), Map.of(), Map.of("s", new ServiceSpec("s", 1_000, List.of())), Map.of()),
                0);
        registry.applyEntry(
                "e", new EndpointEntry("e", 7, "s", "10.0.0.1", 80, "dc", "", 8, false, Optional.empty()), 0);
        responses.add(Optional.empty());
        responses.add(Optional.of(new StatusReport(7, Optional.of(LAYERS), false, 1, List.of(), 1)));
        sender.send(new Action.OrderEngine("e@7", 1, new EngineOrder.LoadLayers("s", LAYERS)));
        scheduler.advance(10_000);
        assertThat(events).noneMatch(Event.EndpointRemoved.class::isInstance);
        assertThat(registry.entry("e@7").orElseThrow().layers()).contains(LAYERS);
        assertThat(responses).isEmpty();
    }
}
