package io.radishwinch.server;

import io.radishwinch.cluster.allotment.LoadVector;
import io.radishwinch.core.DecisionCore.CallerView;
import io.radishwinch.core.DecisionCore.CoreView;
import io.radishwinch.core.DecisionCore.EndpointView;
import io.radishwinch.core.DecisionCore.RankView;
import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.report.DaySummary;
import io.radishwinch.report.ReasonText;
import io.radishwinch.report.ServiceTotals;
import io.radishwinch.server.admin.RouterControl.CallerExplanation;
import io.radishwinch.server.admin.RouterControl.CallerRank;
import io.radishwinch.server.admin.RouterControl.LimitUse;
import io.radishwinch.server.admin.RouterControl.RankStatus;
import io.radishwinch.server.admin.RouterControl.RequestExplanation;
import io.radishwinch.server.admin.RouterControl.Step;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Builds the explanations of requests and callers for operators; must be used on the control thread. */
final class ExplanationBuilder {
    private final ControlPlane plane;

    ExplanationBuilder(ControlPlane plane) {
        this.plane = plane;
    }

    Map<String, List<EndpointView>> endpointsByPool(CoreView view) {
        Map<String, List<EndpointView>> byPool = new HashMap<>();
        for (EndpointView endpoint : view.endpoints()) {
            plane.endpoints().pools(endpoint.endpointId()).forEach(pool -> byPool.computeIfAbsent(
                            pool, name -> new ArrayList<>())
                    .add(endpoint));
        }
        return byPool;
    }

    List<RankStatus> rankStatuses(CoreView view) {
        return view.ranks().stream()
                .map(rank -> new RankStatus(rank.rank().wireName(), rank.queued(), rank.running()))
                .toList();
    }

    RequestExplanation explainRequest(RequestView view) {
        List<Step> steps = view.history().stream()
                .map(text -> new Step(stepAtMs(view, text), text))
                .toList();
        return new RequestExplanation(
                view.request().requestId(),
                view.request().caller(),
                view.request().rank().wireName(),
                view.request().pool(),
                view.state(),
                view.verdict().map(Verdict::wireName).orElse(""),
                view.reason().map(Reason::wireName).orElse(""),
                summary(view),
                view.reason().map(ExplanationBuilder::advice).orElse(""),
                steps);
    }

    private static String summary(RequestView view) {
        if (view.reason().isPresent()) {
            return "the request failed: " + ReasonText.of(view.reason().get());
        }
        return view.verdict().isPresent()
                ? "the request was answered after " + view.epoch() + (view.epoch() == 1 ? " attempt" : " attempts")
                : "the request is " + view.state();
    }

    private static String advice(Reason reason) {
        return switch (reason) {
            case RATE_LIMITED, CONCURRENCY_LIMITED ->
                "raise the limits of the contract, or let the caller send more slowly";
            case NO_CAPACITY -> "see the pools in 'radishwinch status'; start endpoints that hold the missing layers";
            case DEADLINE_UNREACHABLE, QUEUE_FULL ->
                "the fleet is overloaded for this rank; add endpoints or raise a floor";
            case OUTCOME_UNKNOWN -> "check in the service whether the operation ran before you retry it with a new key";
            case PLATFORM_UNAVAILABLE -> "the caller may retry when the platform is reachable";
            case QUARANTINED -> "requests with this content crashed endpoints; see docs/operations";
            default -> "";
        };
    }

    /** Parses the time of a history entry, which starts with the time since arrival in the form {@code +120 ms}. */
    private static long stepAtMs(RequestView view, String text) {
        String digits = text.startsWith("+") && text.contains(" ") ? text.substring(1, text.indexOf(' ')) : "0";
        return view.request().arrivedAtMs() + Long.parseLong(digits);
    }

    CallerExplanation explainCaller(Contract contract) {
        DaySummary summary = plane.daySummaries().todaySummary();
        List<CallerRank> ranks = new ArrayList<>();
        Map<String, Long> refused = new TreeMap<>();
        for (Rank rank : contract.ranks().keySet().stream().sorted().toList()) {
            ServiceTotals totals = summary.service(contract.caller(), rank);
            ranks.add(callerRank(contract.caller(), rank, totals));
            addCounts(refused, totals.refused());
            addCounts(refused, totals.failed());
        }
        long total = refused.values().stream().mapToLong(Long::longValue).sum();
        String text = total == 0
                ? "no request of " + contract.caller() + " was refused today at this router"
                : total + " requests of " + contract.caller() + " were refused or failed today at this router";
        return new CallerExplanation(
                contract.caller(),
                plane.configuration().contractVersion(contract.caller()),
                text,
                limits(contract),
                ranks,
                refused);
    }

    private CallerRank callerRank(String caller, Rank rank, ServiceTotals totals) {
        RankView current = plane.control().core().caller(caller).stream()
                .flatMap(view -> view.ranks().stream())
                .filter(view -> view.rank() == rank)
                .findFirst()
                .orElse(new RankView(rank, 0, 0));
        return new CallerRank(
                rank.wireName(), totals.offered(), totals.withinDeadline(), current.queued(), current.running());
    }

    private List<LimitUse> limits(Contract contract) {
        Optional<CallerView> view = plane.control().core().caller(contract.caller());
        if (view.isEmpty()) {
            return List.of();
        }
        LoadVector offered = plane.demandMeter().latestRates(contract.caller());
        return List.of(
                new LimitUse(
                        "limits.requestsPerS",
                        contract.limits().requestsPerS(),
                        view.get().requestsPerS(),
                        offered.requestsPerS()),
                new LimitUse(
                        "limits.tokensPerS",
                        contract.limits().tokensPerS(),
                        view.get().tokensPerS(),
                        offered.tokensPerS()),
                new LimitUse(
                        "limits.concurrentRequests",
                        contract.limits().concurrentRequests(),
                        view.get().concurrentRequests(),
                        view.get().ranks().stream()
                                .mapToInt(rank -> rank.queued() + rank.running())
                                .sum()));
    }

    private static void addCounts(Map<String, Long> sums, Map<Reason, Long> counts) {
        counts.forEach((reason, count) -> sums.merge(reason.wireName(), count, Long::sum));
    }
}
