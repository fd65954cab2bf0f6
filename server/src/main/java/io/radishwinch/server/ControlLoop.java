package io.radishwinch.server;

import io.radishwinch.core.DecisionCore;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.vertx.core.Context;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Runs the decision core on the control thread and dispatches its actions. */
public final class ControlLoop {
    private final Context context;
    private final LongSupplier clockMs;
    private final DecisionCore core;
    private final Consumer<Action> sharedActions;
    private final Map<String, Exchange> exchanges = new HashMap<>();
    private final InternalErrors errors = new InternalErrors();
    private Runnable idleListener = () -> {};
    private Consumer<Event> eventObserver = event -> {};
    private Consumer<Action> actionObserver = action -> {};
    private Consumer<String> finishListener = requestId -> {};

    /**
     * Creates a loop.
     *
     * @param context context of the control thread
     * @param clockMs monotonic clock, in ms
     * @param core decision core, used by the control thread only
     * @param sharedActions receives the actions that do not belong to a single request
     */
    public ControlLoop(Context context, LongSupplier clockMs, DecisionCore core, Consumer<Action> sharedActions) {
        this.context = context;
        this.clockMs = clockMs;
        this.core = core;
        this.sharedActions = sharedActions;
    }

    /** Sets a function that receives every event before the core; must be called before the first event. */
    public void setEventObserver(Consumer<Event> newObserver) {
        eventObserver = newObserver;
    }

    /** Sets a function that receives every action before it is performed; must be called before the first event. */
    public void setActionObserver(Consumer<Action> newObserver) {
        actionObserver = newObserver;
    }

    /** Sets a function that receives the identifier of each finished request; must be called before the first event. */
    public void setFinishListener(Consumer<String> listener) {
        finishListener = listener;
    }

    /** Handles an event on the control thread; may be called from any thread. */
    public void post(Event event) {
        execute(() -> apply(event));
    }

    /** Handles events in one task of the control thread; may be called from any thread. */
    public void postAll(List<Event> events) {
        if (!events.isEmpty()) {
            execute(() -> events.forEach(event -> runGuarded("event", () -> apply(event))));
        }
    }

    /** Registers the exchange and submits its request to the core; may be called from any thread. */
    public void submit(RequestSpec request, Exchange exchange) {
        execute(() -> {
            exchanges.put(request.requestId(), exchange);
            apply(new Event.RequestArrived(request));
        });
    }

    /** Withdraws a request whose caller disconnected or already has a response; may be called from any thread. */
    public void withdraw(String requestId) {
        execute(() -> {
            if (exchanges.remove(requestId) != null) {
                try {
                    apply(new Event.CallerDisconnected(requestId));
                } finally {
                    notifyIfIdle();
                }
            }
        });
    }

    /**
     * Asks the core whether a withdrawn request may be relayed once more, and calls {@link Exchange#relay()} if so; may
     * be called from any thread.
     */
    public void requestRelay(RequestSpec request, Exchange exchange) {
        execute(() -> {
            exchanges.putIfAbsent(request.requestId(), exchange);
            try {
                apply(new Event.RelayRepeated(request));
            } finally {
                exchanges.remove(request.requestId(), exchange);
            }
        });
    }

    /** Runs a task on the control thread; may be called from any thread. */
    public void execute(Runnable task) {
        context.runOnContext(ignored -> runGuarded("task", task));
    }

    /** Runs a part of a task whose failure must not end the other parts; must be called on the control thread. */
    public void runGuarded(String part, Runnable run) {
        try {
            run.run();
        } catch (RuntimeException | Error e) {
            errors.report(InternalErrors.Part.CONTROL, part, e);
        }
    }

    /** Returns what counts the exceptions of the control thread and of the exchanges; may be used from any thread. */
    public InternalErrors errors() {
        return errors;
    }

    /** Returns the core; must be used on the control thread only. */
    public DecisionCore core() {
        return core;
    }

    /** Returns the current time in ms. */
    public long nowMs() {
        return clockMs.getAsLong();
    }

    /** Returns the number of queued and running requests; must be called on the control thread. */
    public int openRequests() {
        return exchanges.size();
    }

    /** Calls the listener on the control thread whenever no request is queued or running. */
    public void setIdleListener(Runnable listener) {
        execute(() -> {
            idleListener = listener;
            notifyIfIdle();
        });
    }

    private void apply(Event event) {
        errors.observe("of an event", () -> eventObserver.accept(event));
        List<Action> actions;
        try {
            actions = core.handle(event, clockMs.getAsLong());
        } catch (RuntimeException | Error e) {
            endUndecidedRequest(event);
            throw e;
        }
        for (Action action : actions) {
            // The core has already applied all of them, so that a request whose action is lost is never answered.
            errors.observe("of an action", () -> actionObserver.accept(action));
            runGuarded("action", () -> perform(action));
        }
    }

    /** Ends a request for which the core has failed to decide what follows the event. */
    private void endUndecidedRequest(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            refuseUndecided(arrived.request().requestId(), Verdict.NOT_RUN);
        } else if (event instanceof Event.AttemptFailed failed) {
            refuseUndecided(failed.requestId(), Verdict.MAY_HAVE_RUN);
        } else if (event instanceof Event.AttemptFinished finished) {
            refuseUndecided(finished.requestId(), Verdict.MAY_HAVE_RUN);
        } else if (event instanceof Event.AttemptRerouted rerouted) {
            refuseUndecided(rerouted.requestId(), Verdict.MAY_HAVE_RUN);
        } else if (event instanceof Event.RelayRequested requested) {
            refuseUndecided(requested.requestId(), Verdict.MAY_HAVE_RUN);
        }
    }

    /** Refuses a request and tells the core that it is gone. */
    private void refuseUndecided(String requestId, Verdict verdict) {
        Exchange exchange = exchanges.remove(requestId);
        if (exchange == null) {
            return;
        }
        runGuarded("refusal", () -> exchange.refuse(new Action.Refuse(requestId, Reason.INTERNAL_ERROR, verdict, 0)));
        runGuarded("withdrawal", () -> apply(new Event.CallerDisconnected(requestId)));
        notifyIfIdle();
    }

    private void perform(Action action) {
        if (action instanceof Action.StartAttempt start) {
            withExchange(start.requestId(), exchange -> exchange.start(start));
        } else if (action instanceof Action.CancelAttempt cancel) {
            withExchange(cancel.requestId(), exchange -> exchange.cancel(cancel));
        } else if (action instanceof Action.Relay relay) {
            withExchange(relay.requestId(), Exchange::relay);
        } else if (action instanceof Action.Refuse refuse) {
            finish(refuse.requestId(), exchange -> exchange.refuse(refuse));
        } else if (action instanceof Action.Complete complete) {
            finish(complete.requestId(), Exchange::complete);
        } else {
            sharedActions.accept(action);
        }
    }

    private void withExchange(String requestId, Consumer<Exchange> call) {
        Exchange exchange = exchanges.get(requestId);
        if (exchange != null) {
            call.accept(exchange);
        }
    }

    private void finish(String requestId, Consumer<Exchange> call) {
        Exchange exchange = exchanges.remove(requestId);
        try {
            if (exchange != null) {
                call.accept(exchange);
            }
        } finally {
            errors.observe("of the end of " + requestId, () -> finishListener.accept(requestId));
            notifyIfIdle();
        }
    }

    private void notifyIfIdle() {
        if (exchanges.isEmpty()) {
            runGuarded("idle listener", idleListener);
        }
    }
}
