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
import io.radishwinch.core.model.ServiceSpec;
import io.radishwinch.core.model.Verdict;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Simulation of one core under a virtual clock. Delivers events in time order, ends attempts after a service time, and
 * checks the invariants of requests on each action.
 */
final class CoreSimulation {

    static final String MODEL = "m";
    static final long TICK_MS = 50;
    static final long TOKEN_MS = 10;
    static final long PROGRESS_MS = 1_000;
    private static final long MAX_LATE_END_MS = Event.EndpointRemoved.MAX_SILENCE_MS;

    /** Event that ends an attempt, and its delay after the start. */
    record Outcome(long afterMs, Event event) {}

    private record EndpointEnd(String endpointId, long atMs, boolean isProven) {}

    private record ScheduledEvent(long atMs, long sequence, Event event) {}

    /** Recorded history of one request. */
    static final class Trace {
        final RequestSpec spec;
        final List<Action.StartAttempt> starts = new ArrayList<>();
        Action end;
        long endedAtMs;
        int deliveredTokens;
        boolean isLive;
        boolean isCallerDisconnected;
        /** Whether an attempt may have run, because it ended with a verdict other than not-run. */
        boolean mayHaveRun;

        long startedAtMs;

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
    final Map<String, ModelSpec> models = new HashMap<>(Map.of(MODEL, new ModelSpec(MODEL, 8, 1, 1, 10_000)));
    private final Map<Action.StartAttempt, Long> startTimes = new LinkedHashMap<>();
    private final Set<String> cancelled = new HashSet<>();
    /** Ends of endpoints; those that have joined again without a proof of their end are absent. */
    private final List<EndpointEnd> ends = new ArrayList<>();

    private final Map<String, Long> joinedAtMs = new HashMap<>();
    private final PriorityQueue<ScheduledEvent> scheduledEvents = new PriorityQueue<>((a, b) ->
            a.atMs() != b.atMs() ? Long.compare(a.atMs(), b.atMs()) : Long.compare(a.sequence(), b.sequence()));
    /** Behaviour of attempts; by default they finish with a complete response after 10 ms per token. */
    Function<Action.StartAttempt, Outcome> endpointBehaviour = this::finishes;

    /** Whether the adapter reports the end of cancelled attempts. */
    boolean confirmsCancellations = true;

    long nowMs;
    private long sequence;

    CoreSimulation(FakeDirectory directory, TableDecisionCore core) {
        this.directory = directory;
        this.core = core;
        at(0, new Event.Tick());
    }

    static CoreSimulation of(FakeDirectory directory, CoreSettings settings) {
        return new CoreSimulation(directory, TableDecisionCore.create(settings, directory, directory));
    }

    CoreSimulation contract(String caller, double weight, Limits limits, double floorTokensPerS) {
        Map<Rank, RankTerms> ranks = new HashMap<>();
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new RankTerms(30_000, floorTokensPerS));
        }
        contracts.put(
                caller, new Contract(caller, List.of(), weight, limits, ranks, Rank.INTERACTIVE, Set.of(), Set.of()));
        return configure();
    }

    CoreSimulation contract(String caller) {
        return contract(caller, 1, new Limits(1e6, 1e9, 1_000_000), 0);
    }

    CoreSimulation configure() {
        handle(new Event.ConfigChanged(
                new FleetConfig(1, contracts, models, Map.of("pay", new ServiceSpec("pay", 5_000, List.of())))));
        return this;
    }

    RequestSpec request(String id, String caller, Rank rank, long arrivalMs, int maxNewTokens, long timeoutMs) {
        return request(id, "f-" + id, caller, rank, arrivalMs, maxNewTokens, timeoutMs);
    }

    RequestSpec request(
            String id, String fingerprint, String caller, Rank rank, long atMs, int tokens, long timeoutMs) {
        return new RequestSpec(
                id, caller, rank, MODEL, 10, tokens, atMs, atMs + timeoutMs, fingerprint, List.of(), true);
    }

    /**
     * Returns a stream of caller {@code a} with limits on its runs and its start, which other endpoints may have run.
     */
    static RequestSpec stream(
            String id,
            int maxRuns,
            int tokens,
            long arrivedAtMs,
            long deadlineMs,
            long startDeadlineMs,
            List<String> earlierEndpointIds) {
        return new RequestSpec(
                id,
                "a",
                Rank.INTERACTIVE,
                MODEL,
                10,
                tokens,
                arrivedAtMs,
                deadlineMs,
                "f-" + id,
                List.of(),
                List.of(),
                true,
                maxRuns,
                tokens,
                startDeadlineMs,
                earlierEndpointIds);
    }

    void at(long atMs, Event event) {
        scheduledEvents.add(new ScheduledEvent(atMs, sequence++, event));
    }

    void arrive(RequestSpec spec) {
        at(spec.arrivedAtMs(), new Event.RequestArrived(spec));
    }

    void run(long untilMs) {
        while (!scheduledEvents.isEmpty() && scheduledEvents.peek().atMs() <= untilMs) {
            ScheduledEvent next = scheduledEvents.poll();
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

    /** Returns the number of attempts that start within a period and match the predicate. */
    long starts(long fromMs, long toMs, Predicate<Action.StartAttempt> of) {
        return startTimes.entrySet().stream()
                .filter(e -> e.getValue() >= fromMs && e.getValue() < toMs && of.test(e.getKey()))
                .count();
    }

    void handle(Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            traces.putIfAbsent(arrived.request().requestId(), new Trace(arrived.request()));
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            trace(disconnected.requestId()).isCallerDisconnected = true;
        } else if (event instanceof Event.Progress progress) {
            Trace trace = trace(progress.requestId());
            if (trace.isLive && trace.starts.size() == progress.epoch()) {
                trace.deliveredTokens = Math.max(trace.deliveredTokens, progress.deliveredTokens());
            }
        } else if (event instanceof Event.AttemptFailed failed) {
            endAttempt(failed.requestId(), failed.epoch(), failed.verdict(), failed.deliveredTokens());
        } else if (event instanceof Event.AttemptFinished finished) {
            endAttempt(finished.requestId(), finished.epoch(), Verdict.RAN, finished.deliveredTokens());
        }
        boolean isOwnFailure = event instanceof Event.AttemptFailed failed
                && !failed.failedEndpointId().isEmpty();
        if (endsCancelled(event) && (!confirmsCancellations || isOwnFailure)) {
            return;
        }
        for (Action action : core.handle(event, nowMs)) {
            actions.add(action);
            apply(action);
        }
        recordEnds(event);
        core.state().running.forEach(this::checkEndpointsOf);
    }

    private void recordEnds(Event event) {
        if (event instanceof Event.EndpointRemoved removed && !removed.isSuspected()) {
            ends.add(new EndpointEnd(removed.endpointId(), nowMs, removed.hasCrashed()));
        } else if (event instanceof Event.EndpointJoined joined) {
            String id = joined.endpoint().id();
            joinedAtMs.put(id, nowMs);
            ends.removeIf(end -> end.endpointId.equals(id) && !end.isProven);
        }
    }

    /**
     * Checks that no attempt outlives an endpoint by more than the time in which a response still arrives. One that
     * cannot run again goes on until the end is proven, or if the endpoint is in use again.
     */
    private void checkEndpointsOf(RequestRow row) {
        boolean isLastRun = !row.spec.isRepeatable() && row.isAccepted;
        for (EndpointEnd end : ends) {
            boolean mayGoOn =
                    isLastRun && (!end.isProven || joinedAtMs.getOrDefault(end.endpointId, Long.MIN_VALUE) >= end.atMs);
            check(
                    mayGoOn
                            || end.atMs < row.attemptStartedAtMs
                            || isInUseAgainAt(row.attemptStartedAtMs, end)
                            || end.atMs >= nowMs - MAX_LATE_END_MS - TICK_MS
                            || !row.chain.uses(end.endpointId),
                    "attempt " + row.epoch + " of " + row.id() + " outlives " + end);
        }
    }

    /** Returns whether the endpoint ended and joined again in the millisecond in which an attempt started. */
    private boolean isInUseAgainAt(long startedAtMs, EndpointEnd end) {
        return end.atMs == startedAtMs && joinedAtMs.getOrDefault(end.endpointId, Long.MIN_VALUE) >= startedAtMs;
    }

    /**
     * Returns whether the event ends a cancelled attempt. An adapter that confirms no cancellations never sends it; one
     * that does reports the cancellation instead of a failure in the same millisecond.
     */
    private boolean endsCancelled(Event event) {
        return (event instanceof Event.AttemptFailed failed && cancelled.contains(failed.requestId() + failed.epoch()))
                || (event instanceof Event.AttemptFinished end && cancelled.contains(end.requestId() + end.epoch()));
    }

    private void endAttempt(String requestId, int epoch, Verdict verdict, int deliveredTokens) {
        Trace trace = trace(requestId);
        if (trace != null && trace.isLive && trace.starts.size() == epoch) {
            trace.isLive = false;
            trace.mayHaveRun |= verdict != Verdict.NOT_RUN;
            trace.deliveredTokens = Math.max(trace.deliveredTokens, deliveredTokens);
        }
    }

    private void apply(Action action) {
        if (action instanceof Action.StartAttempt start) {
            startAttempt(start);
        } else if (action instanceof Action.CancelAttempt cancel) {
            Trace trace = openTrace(cancel.requestId());
            check(trace.starts.size() == cancel.epoch(), "cancelled epoch is not the current one: " + cancel.epoch());
            if (trace.isLive) {
                int delivered = deliveredNow(trace);
                cancelled.add(cancel.requestId() + cancel.epoch());
                endAttempt(cancel.requestId(), cancel.epoch(), Verdict.MAY_HAVE_RUN, delivered);
                Event ended = new Event.AttemptFailed(
                        cancel.requestId(), cancel.epoch(), "", cancel.reason(), Verdict.MAY_HAVE_RUN, delivered);
                if (confirmsCancellations) {
                    at(nowMs, ended);
                }
            }
        } else if (action instanceof Action.Refuse refuse) {
            Trace trace = openTrace(refuse.requestId());
            check(
                    refuse.verdict() != Verdict.NOT_RUN || !trace.mayHaveRun,
                    refuse + " claims not-run, but an attempt may have run");
            endRequest(trace, action);
        } else if (action instanceof Action.Complete complete) {
            endRequest(openTrace(complete.requestId()), action);
        }
    }

    private void startAttempt(Action.StartAttempt start) {
        Trace trace = openTrace(start.requestId());
        check(!trace.isLive, "second concurrent attempt of request " + start.requestId());
        check(
                start.epoch() == trace.starts.size() + 1,
                "unexpected epoch " + start.epoch() + " of request " + start.requestId());
        check(
                trace.spec.isRepeatable() || !trace.mayHaveRun,
                start.requestId() + " is not repeatable but would run twice");
        check(
                start.resumeFromToken() == trace.deliveredTokens,
                start + " does not resume from the last delivered token");
        directory.runningByEndpoint.forEach(
                (id, running) -> check(running <= directory.slots, id + " runs more attempts than it has slots"));
        trace.starts.add(start);
        startTimes.put(start, nowMs);
        trace.startedAtMs = nowMs;
        trace.isLive = true;
        Outcome outcome = endpointBehaviour.apply(start);
        if (outcome != null) {
            at(nowMs + outcome.afterMs(), outcome.event());
            if (outcome.event() instanceof Event.AttemptFailed failed && failed.verdict() == Verdict.NOT_RUN) {
                return;
            }
            at(nowMs, new Event.AttemptStarted(start.requestId(), start.epoch()));
            if (outcome.afterMs() > TOKEN_MS) {
                at(nowMs + TOKEN_MS, new Event.FirstToken(start.requestId(), start.epoch()));
            }
            for (long afterMs = PROGRESS_MS; afterMs < outcome.afterMs(); afterMs += PROGRESS_MS) {
                int delivered = start.resumeFromToken() + (int) (afterMs / TOKEN_MS);
                at(nowMs + afterMs, new Event.Progress(start.requestId(), start.epoch(), delivered));
            }
        }
    }

    int deliveredNow(Trace trace) {
        int resumed = trace.starts.get(trace.starts.size() - 1).resumeFromToken();
        return (int) Math.min(trace.spec.maxNewTokens() - 1, resumed + (nowMs - trace.startedAtMs) / TOKEN_MS);
    }

    private void endRequest(Trace trace, Action action) {
        check(!trace.isLive, trace.spec.requestId() + " ended while an attempt is running");
        trace.end = action;
        trace.endedAtMs = nowMs;
    }

    private Trace openTrace(String requestId) {
        Trace trace = traces.get(requestId);
        check(
                trace != null && trace.end == null,
                "request " + requestId + " is unknown or has ended, but received an action");
        return trace;
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new AssertionError(message);
        }
    }

    Outcome finishes(Action.StartAttempt start) {
        int tokens = traces.get(start.requestId()).spec.maxNewTokens();
        return new Outcome(
                TOKEN_MS * (tokens - start.resumeFromToken()),
                new Event.AttemptFinished(start.requestId(), start.epoch(), tokens));
    }

    static Outcome fails(Action.StartAttempt start, long afterMs, Reason reason, Verdict verdict, int delivered) {
        return new Outcome(
                afterMs,
                new Event.AttemptFailed(
                        start.requestId(),
                        start.epoch(),
                        start.chain().firstStage().endpointId(),
                        reason,
                        verdict,
                        delivered));
    }
}
