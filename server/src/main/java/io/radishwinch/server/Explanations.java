package io.radishwinch.server;

import io.radishwinch.core.DecisionCore.CoreView;
import io.radishwinch.core.DecisionCore.EndpointView;
import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.report.DaySummary;
import io.radishwinch.report.ServiceTotals;
import io.radishwinch.server.admin.RouterControl.CallerExplanation;
import io.radishwinch.server.admin.RouterControl.CallerRank;
import io.radishwinch.server.admin.RouterControl.RankStatus;
import io.radishwinch.server.admin.RouterControl.RequestExplanation;
import io.radishwinch.server.admin.RouterControl.Step;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Texts and figures that answer why something happened; used on the control thread. */
final class Explanations {
    private final ControlPlane parts;

    Explanations(ControlPlane parts) {
        this.parts = parts;
    }

    Map<String, List<EndpointView>> endpointsByPool(CoreView view) {
        Map<String, List<EndpointView>> byPool = new HashMap<>();
        for (EndpointView endpoint : view.endpoints()) {
            parts.endpoints().pools(endpoint.endpointId()).forEach(pool -> byPool.computeIfAbsent(
                            pool, name -> new ArrayList<>())
                    .add(endpoint));
        }
        return byPool;
    }

    List<RankStatus> ranks(CoreView view) {
        return List.of(new RankStatus("all", view.queued(), view.running()));
    }

    RequestExplanation request(RequestView view) {
        List<Step> steps = view.history().stream()
                .map(text -> new Step(stepAtMs(view, text), text))
                .toList();
        String last = view.history().isEmpty()
                ? ""
                : view.history().get(view.history().size() - 1);
        return new RequestExplanation(
                view.request().requestId(),
                view.request().caller(),
                view.request().rank().wireName(),
                view.request().pool(),
                view.state(),
                "",
                "",
                "the request is " + view.state() + "; last decision: " + last,
                "",
                steps);
    }

    /** History entries start with the time since arrival, in the form {@code +120 ms}. */
    private static long stepAtMs(RequestView view, String text) {
        String digits = text.startsWith("+") && text.contains(" ") ? text.substring(1, text.indexOf(' ')) : "0";
        return view.request().arrivedAtMs() + Long.parseLong(digits);
    }

    CallerExplanation caller(Contract contract) {
        DaySummary summary = parts.day().today();
        List<CallerRank> ranks = new ArrayList<>();
        Map<String, Long> refused = new TreeMap<>();
        for (Rank rank : contract.ranks().keySet().stream().sorted().toList()) {
            ServiceTotals totals = summary.service(contract.caller(), rank);
            ranks.add(new CallerRank(rank.wireName(), totals.offered(), totals.withinDeadline(), 0, 0));
            add(refused, totals.refused());
            add(refused, totals.failed());
        }
        long total = refused.values().stream().mapToLong(Long::longValue).sum();
        String text = total == 0
                ? "no request of " + contract.caller() + " was refused today at this router"
                : total + " requests of " + contract.caller() + " were refused or failed today at this router";
        return new CallerExplanation(
                contract.caller(), parts.configuration().version(contract.caller()), text, List.of(), ranks, refused);
    }

    private static void add(Map<String, Long> sums, Map<Reason, Long> counts) {
        counts.forEach((reason, count) -> sums.merge(reason.wireName(), count, Long::sum));
    }
}
