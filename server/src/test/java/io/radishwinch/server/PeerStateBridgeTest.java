package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.OutgoingFrame;
import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.quarantine.PromptCrash;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a restarted router that ignores what it published itself before, such as a crash or a leaving mark.
 */
class PeerStateBridgeTest {
    private static final long STEP_MS = PeerNode.TICK_INTERVAL_MS;

    private final Vertx vertx = Vertx.vertx();
    private final Map<Address, Router> routers = new HashMap<>();
    private long nowMs = 1_000_000;

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Core that records its events. */
    private static final class RecordingCore extends ViewlessCore {
        private final List<Event> events = Collections.synchronizedList(new ArrayList<>());

        @Override
        public List<Action> handle(Event event, long atMs) {
            events.add(event);
            return List.of();
        }

        @Override
        public CoreView view() {
            return new CoreView(List.of(), List.of(), List.of());
        }
    }

    /** Peer node, bridge and core of one process. */
    private final class Router {
        private final RecordingCore core = new RecordingCore();
        private final List<String> leavingIds = new ArrayList<>();
        private final ControlLoop control =
                new ControlLoop(vertx.getOrCreateContext(), () -> nowMs, core, action -> {});
        private final Address address;
        private final PeerNode node;
        private final PeerStateBridge bridge;

        Router(int index) {
            address = address(index);
            node = new PeerNode("r" + index, "dc", address, nowMs, index);
            PeerStateBridge.PeerEndpointListener listener = new PeerStateBridge.PeerEndpointListener() {
                @Override
                public void endpointLeaving(String endpointId) {
                    leavingIds.add(endpointId);
                }

                @Override
                public void endpointUnreachable(String endpointId) {}
            };
            bridge = new PeerStateBridge(node, control, listener, object -> {}, (sender, message) -> {});
            node.addListener(bridge);
            routers.put(address, this);
            deliver(node.join(List.of(seed(1), seed(2)), nowMs));
        }

        /** Returns the events so far, after those that wait for the control thread. */
        List<Event> events() {
            CompletableFuture<Void> done = new CompletableFuture<>();
            control.execute(() -> done.complete(null));
            done.join();
            return List.copyOf(core.events);
        }
    }

    private static Address address(int index) {
        return new Address("10.0.0." + index, 7_400);
    }

    private static Seed seed(int index) {
        return new Seed("r" + index, "dc", address(index));
    }

    private void deliver(List<OutgoingFrame> frames) {
        for (OutgoingFrame next : frames) {
            Router receiver = routers.get(next.destination());
            if (receiver != null) {
                deliver(receiver.node.receive(next.frame(), nowMs));
            }
        }
    }

    private void runFor(long durationMs) {
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
            List.copyOf(routers.values()).forEach(router -> deliver(router.node.tick(nowMs)));
        }
    }

    @Test
    void aRestartedRouterAppliesWhatItPublishedBefore() {
        Router first = new Router(1);
        Router second = new Router(2);
        runFor(1_000);
        PromptCrash crash = new PromptCrash("f", "e@1", List.of(7L), nowMs - 50, nowMs);
        first.bridge.publishPromptCrash(new Action.SharePromptCrash(crash));
        first.bridge.publishLeaving("e@2");
        runFor(1_000);
        assertThat(first.events()).isEmpty();
        assertThat(second.events()).containsExactly(new Event.PromptCrashShared(crash));

        routers.remove(first.address);
        runFor(500);
        Router restarted = new Router(1);
        runFor(1_500);
        assertThat(restarted.events()).containsExactly(new Event.PromptCrashShared(crash));
        assertThat(restarted.leavingIds).containsExactly("e@2");
    }
}
