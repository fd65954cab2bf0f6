package io.radishwinch.core.impl;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;

/**
 * One core under a virtual clock: delivers events in order of time, answers attempts after a service time, and checks
 * on each action what holds for every request.
 */
final class CoreBench {

    static final String MODEL = "m";
    static final long TICK_MS = 50;

    /** End of an attempt: after which time, and with which event. */
    record Outcome(long afterMs, Event event) {}

    private record Due(long atMs, long sequence, Event event) {}

    /** What happened to one request. */
    static final class Trace {
        final RequestSpec spec;
        final List<Action.StartAttempt> starts = new ArrayList<>();
        Action end;
        long endedAtMs;
        int deliveredTokens;
        boolean live;
        boolean callerGone;

        Trace(RequestSpec spec) {
            this.spec = spec;
        }

        boolean isServed() {
            return end instanceof Action.Complete && endedAtMs <= spec.deadlineMs();
        }

        Action.Refuse refusal() {
            return (Action.Refuse) end;
        }
    }

    final FakeDirectory directory;
    final TableDecisionCore core;
    final Map<String, Trace> traces = new LinkedHashMap<>();
    final List<Action> actions = new ArrayList<>();
    final Map<String, Contract> contracts = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>((a, b) ->
            a.atMs() != b.atMs() ? Long.compare(a.atMs(), b.atMs()) : Long.compare(a.sequence(), b.sequence()));
    /** Behaviour of attempts; by default they finish with the whole answer after 10 ms for each token. */
    Function<Action.StartAttempt, Outcome> endpoints = this::finishes;

    long nowMs;
    private long sequence;

    CoreBench(FakeDirectory directory, TableDecisionCore core) {
        this.directory = directory;
        this.core = core;
        at(0, new Event.Tick());
    }

    static CoreBench of(FakeDirectory directory, CoreSettings settings) {
        return new CoreBench(directory, TableDecisionCore.create(settings, directory, directory));
    }

    // Input

    CoreBench contract(String caller, double weight, Limits limits, double floorTokensPerS) {
        Map<Rank, RankTerms> ranks = new HashMap<>();
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new RankTerms(30_000, floorTokensPerS));
        }
        contracts.put(
                caller, new Contract(caller, List.of(), weight, limits, ranks, Rank.INTERACTIVE, Set.of(), Set.of()));
        return configure();
    }

    CoreBench contract(String caller) {
        return contract(caller, 1, new Limits(1e6, 1e9, 1_000_000), 0);
    }

    CoreBench configure() {
        handle(new Event.ConfigInForce(
                new FleetConfig(1, contracts, Map.of(MODEL, new ModelSpec(MODEL, 8, 1, 1, 10_000)), Map.of())));
        return this;
    }

    RequestSpec request(String id, String caller, Rank rank, long arrivalMs, int maxNewTokens, long timeoutMs) {
        return new RequestSpec(
                id,
                caller,
                rank,
                MODEL,
                10,
                maxNewTokens,
                arrivalMs,
                arrivalMs + timeoutMs,
                "f-" + id,
                List.of(),
                true);
    }

    void at(long atMs, Event event) {
        due.add(new Due(atMs, sequence++, event));
    }

    void arrive(RequestSpec spec) {
        at(spec.arrivedAtMs(), new Event.RequestArrived(spec));
    }

    void run(long untilMs) {
        while (!due.isEmpty() && due.peek().atMs() <= untilMs) {
            Due next = due.poll();
            nowMs = next.atMs();
            if (next.event() instanceof Event.Tick) {
                at(nowMs + TICK_MS, next.event());
            }
            handle(next.event());
        }
        nowMs = untilMs;
    }

    Trace trace(String id) {
        return traces.get(id);
    }

    // Actions

    void handle(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            traces.putIfAbsent(arrived.request().requestId(), new Trace(arrived.request()));
        } else if (event instanceof Event.CallerGone gone) {
            traces.get(gone.requestId()).callerGone = true;
        } else if (event instanceof Event.AttemptFailed failed) {
            attemptEnded(failed.requestId(), failed.epoch());
        } else if (event instanceof Event.AttemptFinished finished) {
            traces.get(finished.requestId()).deliveredTokens = finished.deliveredTokens();
            attemptEnded(finished.requestId(), finished.epoch());
        }
        for (Action action : core.handle(event, nowMs)) {
            actions.add(action);
            apply(action);
        }
    }

    private void attemptEnded(String requestId, int epoch) {
        Trace trace = traces.get(requestId);
        if (trace.starts.get(trace.starts.size() - 1).epoch() == epoch) {
            trace.live = false;
        }
    }

    private void apply(Action action) {
        if (action instanceof Action.StartAttempt start) {
            Trace trace = open(start.requestId());
            check(!trace.live, "a second live attempt of " + start.requestId());
            check(start.epoch() > trace.starts.size(), "epoch " + start.epoch() + " does not increase");
            check(
                    start.chain().stages().stream()
                            .noneMatch(s -> directory.runningByEndpoint.get(s.endpointId()) > directory.slots),
                    "slots");
            trace.starts.add(start);
            trace.live = true;
            Outcome outcome = endpoints.apply(start);
            if (outcome != null) {
                at(nowMs + outcome.afterMs(), outcome.event());
            }
        } else if (action instanceof Action.CancelAttempt cancel) {
            Trace trace = open(cancel.requestId());
            trace.live = false;
            at(
                    nowMs,
                    new Event.AttemptFailed(
                            cancel.requestId(),
                            cancel.epoch(),
                            "",
                            cancel.reason(),
                            Verdict.MAY_HAVE_RUN,
                            trace.starts.get(trace.starts.size() - 1).resumeFromToken()));
        } else if (action instanceof Action.Refuse refuse) {
            end(refuse.requestId(), action);
        } else if (action instanceof Action.Complete complete) {
            end(complete.requestId(), action);
        }
    }

    private void end(String requestId, Action action) {
        Trace trace = open(requestId);
        check(!trace.live, requestId + " ended with a live attempt");
        trace.end = action;
        trace.endedAtMs = nowMs;
    }

    private Trace open(String requestId) {
        Trace trace = traces.get(requestId);
        check(trace != null && trace.end == null, "action for " + requestId + " after its end");
        return trace;
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }

    // Behaviour of endpoints

    Outcome finishes(Action.StartAttempt start) {
        int tokens = traces.get(start.requestId()).spec.maxNewTokens();
        return new Outcome(
                10L * (tokens - start.resumeFromToken()),
                new Event.AttemptFinished(start.requestId(), start.epoch(), tokens));
    }

    static Outcome fails(Action.StartAttempt start, long afterMs, Reason reason, Verdict verdict, int delivered) {
        return new Outcome(
                afterMs,
                new Event.AttemptFailed(
                        start.requestId(),
                        start.epoch(),
                        start.chain().head().endpointId(),
                        reason,
                        verdict,
                        delivered));
    }
}
