package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.logguard.ExpectsInternalErrors;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ControlLoopTest {
    private static final int WAIT_S = 20;

    private final Vertx vertx = Vertx.vertx();
    private final List<String> refused = Collections.synchronizedList(new ArrayList<>());

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** Guards against requests without a response because the action of another one fails in the same event. */
    @Test
    @ExpectsInternalErrors
    void aFailedActionDoesNotDiscardThoseOfOtherRequests() throws Exception {
        ControlLoop control = new ControlLoop(vertx.getOrCreateContext(), () -> 0, new RefusingCore(), action -> {});
        control.setActionObserver(action -> {
            if (action instanceof Action.Refuse refuse && refuse.requestId().equals("b")) {
                throw new IllegalStateException("no line for " + refuse.requestId());
            }
        });
        for (String id : List.of("a", "b", "c")) {
            control.submit(request(id), new RefusedExchange(id, id.equals("a")));
        }
        control.post(new Event.ConfigChanged(new FleetConfig(1, Map.of(), Map.of(), Map.of(), Map.of())));
        assertThat(openRequests(control)).isZero();
        assertThat(refused).containsExactly("a", "b", "c");
    }

    /** Guards against events that never reach the core, such as the end of an attempt, because a log line fails. */
    @Test
    @ExpectsInternalErrors
    void anObserverThatThrowsDoesNotKeepAnEventFromTheCore() throws Exception {
        ControlLoop control = new ControlLoop(vertx.getOrCreateContext(), () -> 0, new RefusingCore(), action -> {});
        control.setEventObserver(event -> {
            throw new IllegalStateException("no line for " + event);
        });
        control.submit(request("a"), new RefusedExchange("a", false));
        control.post(new Event.ConfigChanged(new FleetConfig(1, Map.of(), Map.of(), Map.of(), Map.of())));
        assertThat(openRequests(control)).isZero();
        assertThat(refused).containsExactly("a");
        assertThat(control.errors().count(InternalErrors.Part.OBSERVER)).isEqualTo(2);
    }

    /** Guards against a request that nobody answers because the core fails on its arrival. */
    @Test
    @ExpectsInternalErrors
    void aRequestOnWhichTheCoreFailsIsRefused() throws Exception {
        ViewlessCore failing = new ViewlessCore() {
            @Override
            public List<Action> handle(Event event, long nowMs) {
                throw new IllegalStateException("no decision on " + event);
            }
        };
        ControlLoop control = new ControlLoop(vertx.getOrCreateContext(), () -> 0, failing, action -> {});
        control.submit(request("a"), new RefusedExchange("a", false));
        assertThat(openRequests(control)).isZero();
        assertThat(refused).containsExactly("a");
        // On the arrival and on the withdrawal that follows it.
        assertThat(control.errors().count(InternalErrors.Part.CONTROL)).isEqualTo(2);
    }

    /** Guards against a request that nobody answers because the core fails on the end of its attempt. */
    @ParameterizedTest
    @MethodSource("attemptEnds")
    @ExpectsInternalErrors
    void aRequestOnWhoseAttemptEndTheCoreFailsIsRefusedAndWithdrawn(Event attemptEnd) throws Exception {
        List<String> withdrawn = Collections.synchronizedList(new ArrayList<>());
        ViewlessCore failing = new ViewlessCore() {
            @Override
            public List<Action> handle(Event event, long nowMs) {
                if (event == attemptEnd) {
                    throw new IllegalStateException("no decision on " + event);
                } else if (event instanceof Event.CallerDisconnected disconnected) {
                    withdrawn.add(disconnected.requestId());
                }
                return List.of();
            }
        };
        ControlLoop control = new ControlLoop(vertx.getOrCreateContext(), () -> 0, failing, action -> {});
        CompletableFuture<Void> idle = new CompletableFuture<>();
        control.submit(request("a"), new RefusedExchange("a", true));
        control.setIdleListener(() -> idle.complete(null));
        control.post(attemptEnd);
        idle.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(openRequests(control)).isZero();
        assertThat(refused).containsExactly("a");
        assertThat(withdrawn).containsExactly("a");
        assertThat(control.errors().count(InternalErrors.Part.CONTROL)).isEqualTo(2);
    }

    static List<Event> attemptEnds() {
        return List.of(
                new Event.AttemptFailed("a", 1, "e", Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN, 0),
                new Event.AttemptFinished("a", 1, 1),
                new Event.AttemptRerouted("a", 1, false),
                new Event.RelayRequested("a"));
    }

    /** Guards against a stream that is broken off because the core fails on a report of its progress. */
    @Test
    @ExpectsInternalErrors
    void aRequestOnWhoseProgressTheCoreFailsGoesOn() throws Exception {
        ViewlessCore failing = new ViewlessCore() {
            @Override
            public List<Action> handle(Event event, long nowMs) {
                if (event instanceof Event.Progress) {
                    throw new IllegalStateException("no decision on " + event);
                }
                return List.of();
            }
        };
        ControlLoop control = new ControlLoop(vertx.getOrCreateContext(), () -> 0, failing, action -> {});
        control.submit(request("a"), new RefusedExchange("a", false));
        control.post(new Event.Progress("a", 1, 1));
        assertThat(openRequests(control)).isOne();
        assertThat(control.errors().count(InternalErrors.Part.CONTROL)).isOne();
    }

    /** Guards against a stop that waits for its timeout because the observer of the last request fails. */
    @Test
    @ExpectsInternalErrors
    void theLoopIsIdleAlthoughTheListenerOfTheLastRequestThrows() throws Exception {
        ControlLoop control = new ControlLoop(vertx.getOrCreateContext(), () -> 0, new RefusingCore(), action -> {});
        control.setFinishListener(id -> {
            throw new IllegalStateException("no count of " + id);
        });
        CompletableFuture<Void> idle = new CompletableFuture<>();
        control.submit(request("a"), new RefusedExchange("a", true));
        control.setIdleListener(() -> idle.complete(null));
        control.post(new Event.ConfigChanged(new FleetConfig(1, Map.of(), Map.of(), Map.of(), Map.of())));
        idle.get(WAIT_S, TimeUnit.SECONDS);
        assertThat(refused).containsExactly("a");
    }

    private static int openRequests(ControlLoop control) throws Exception {
        CompletableFuture<Integer> openRequests = new CompletableFuture<>();
        control.execute(() -> openRequests.complete(control.openRequests()));
        return openRequests.get(WAIT_S, TimeUnit.SECONDS);
    }

    private static RequestSpec request(String id) {
        return new RequestSpec(id, "c", Rank.INTERACTIVE, "m", 1, 1, 0, Long.MAX_VALUE, id, List.of(), true);
    }

    /** Refuses all requests when the configuration changes. */
    private static final class RefusingCore extends ViewlessCore {

        @Override
        public List<Action> handle(Event event, long nowMs) {
            return event instanceof Event.ConfigChanged
                    ? Stream.of("a", "b", "c")
                            .<Action>map(id -> new Action.Refuse(id, Reason.CONTRACT_WITHDRAWN, Verdict.NOT_RUN, 0))
                            .toList()
                    : List.of();
        }
    }

    /** Exchange that records its refusal, and may fail then. */
    private final class RefusedExchange implements Exchange {
        private final String id;
        private final boolean isFailing;

        RefusedExchange(String id, boolean isFailing) {
            this.id = id;
            this.isFailing = isFailing;
        }

        @Override
        public void start(Action.StartAttempt attempt) {}

        @Override
        public void cancel(Action.CancelAttempt attempt) {}

        @Override
        public void complete() {}

        @Override
        public void refuse(Action.Refuse refusal) {
            refused.add(id);
            if (isFailing) {
                throw new IllegalStateException("no exchange for " + id);
            }
        }
    }
}
