package io.radishwinch.report;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.Reason;
import io.radishwinch.report.ContractResult.Floor;
import io.radishwinch.report.ContractResult.Status;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Evaluates a day: compares the service with the contracts and derives the verdict. */
final class DayEvaluation {

    /** Percentiles over fewer requests are not compared with a target, because they are not meaningful. */
    private static final int MIN_REQUESTS_FOR_PERCENTILE = 20;

    private final DaySummary summary;
    private final ReportTargets targets;
    private final List<ContractResult> results;
    private final List<DataGap> dataGaps;
    private final long nowMs;

    DayEvaluation(DaySummary summary, Collection<Contract> contracts, ReportTargets targets, long nowMs) {
        this.summary = summary;
        this.targets = targets;
        this.nowMs = nowMs;
        this.dataGaps = DataGapFinder.find(summary, nowMs);
        this.results = evaluateContracts(contracts);
    }

    DaySummary summary() {
        return summary;
    }

    ReportTargets targets() {
        return targets;
    }

    List<ContractResult> results() {
        return results;
    }

    List<DataGap> dataGaps() {
        return dataGaps;
    }

    long nowMs() {
        return nowMs;
    }

    boolean isDayOver() {
        return nowMs >= summary.day().endMs();
    }

    /** Overall rating of a day. */
    enum Rating {
        GOOD,
        GOOD_WITH_NOTES,
        BAD,
        NO_DATA
    }

    Rating rating() {
        if (summary.recordingCoverage().isEmpty() && summary.callers().isEmpty()) {
            return Rating.NO_DATA;
        }
        boolean isPromiseMissed = results.stream().anyMatch(result -> result.status() == Status.MISSED);
        if (isPromiseMissed || summary.charges().duplicates() > 0) {
            return Rating.BAD;
        }
        boolean isBatchLimited = results.stream().anyMatch(result -> result.status() == Status.LIMITED);
        return isBatchLimited || summary.charges().inDoubt() > 0 || !dataGaps.isEmpty()
                ? Rating.GOOD_WITH_NOTES
                : Rating.GOOD;
    }

    /** Returns the verdict in one sentence. */
    String verdictSentence() {
        String day = isDayOver() ? "The day" : "The day so far";
        return switch (rating()) {
            case NO_DATA -> "Nothing is known about this day: no router has written a summary.";
            case GOOD -> day + " went well: " + goodDayText() + ".";
            case GOOD_WITH_NOTES -> day + " went well, with notes: " + String.join("; ", notes()) + ".";
            case BAD -> day + " did not go well: " + badDayText() + ".";
        };
    }

    private String goodDayText() {
        long offered = 0;
        for (Rank rank : Rank.values()) {
            offered += summary.service(rank).offered();
        }
        if (offered == 0) {
            return "there were no requests";
        }
        ServiceTotals interactive = summary.service(Rank.INTERACTIVE);
        String all = ReportFormat.count(offered, "request") + " from "
                + ReportFormat.count(summary.callers().size(), "caller") + ", every promise kept";
        return interactive.entitled() > 0
                ? all + ", " + ReportFormat.percent(interactive.withinDeadlineShare())
                        + " of interactive requests answered in time"
                : all;
    }

    private String badDayText() {
        List<String> parts = new ArrayList<>();
        if (summary.charges().duplicates() > 0) {
            parts.add(ReportFormat.count(summary.charges().duplicates(), "charge") + " ran twice");
        }
        List<ContractResult> missed = results.stream()
                .filter(result -> result.status() == Status.MISSED)
                .sorted(Comparator.comparing(ContractResult::rank)
                        .thenComparing(result -> result.service().withinDeadlineShare()))
                .toList();
        if (!missed.isEmpty()) {
            ContractResult first = missed.get(0);
            parts.add(first.label() + " " + first.shortfalls().get(0) + explainShortfall(first));
            if (missed.size() > 1) {
                parts.add(ReportFormat.count(missed.size() - 1L, "other promise") + " missed");
            }
        }
        if (summary.charges().inDoubt() > 0) {
            parts.add(inDoubtText());
        }
        return String.join("; ", parts);
    }

    private List<String> notes() {
        List<String> notes = new ArrayList<>();
        if (summary.charges().inDoubt() > 0) {
            notes.add(inDoubtText());
        }
        results.stream()
                .filter(result -> result.status() == Status.LIMITED)
                .findFirst()
                .ifPresent(result -> notes.add(result.label() + " had "
                        + ReportFormat.count(result.service().unserved(), "request") + " refused, mostly because "
                        + result.mainReason().map(ReasonText::of).orElse("of a surge")));
        if (!dataGaps.isEmpty()) {
            notes.add("data is missing for " + ReportFormat.count(dataGaps.size(), "period"));
        }
        return notes;
    }

    private String inDoubtText() {
        long inDoubt = summary.charges().inDoubt();
        return ReportFormat.count(inDoubt, "charge") + (inDoubt == 1 ? " is" : " are") + " in doubt";
    }

    /** Returns a clause with the main reason, the time of the worst slot and the last event before it. */
    private String explainShortfall(ContractResult result) {
        String reason = result.mainReason()
                .map(r -> ", mostly because " + ReasonText.of(r))
                .orElse(
                        result.service().withinDeadline() < result.service().entitled()
                                ? ", because responses were late"
                                : "");
        int worst = worstSlot(result);
        if (worst < 0) {
            return reason;
        }
        long atMs = summary.day().slotStartMs(worst);
        String event = summary.events().stream()
                .filter(e -> e.kind() == FleetEvent.Kind.FAILURE || e.kind() == FleetEvent.Kind.SURGE)
                .filter(e -> e.atMs() < atMs + DaySlots.SLOT_MS && e.atMs() > atMs - 6 * DaySlots.SLOT_MS)
                .reduce((first, second) -> second)
                .map(e -> " after " + (e.kind() == FleetEvent.Kind.SURGE ? "a surge of " : "the failure of ")
                        + ReportFormat.printable(e.subject()))
                .orElse("");
        return reason + ", worst at " + ReportFormat.time(atMs, summary.day().zone()) + event;
    }

    private int worstSlot(ContractResult result) {
        if (result.floor().state() == Floor.State.MISSED) {
            return result.floor().worstSlot();
        }
        int worst = -1;
        long most = 0;
        for (int slot = 0; slot < summary.day().slotCount(); slot++) {
            if (result.service().unserved(slot) > most) {
                most = result.service().unserved(slot);
                worst = slot;
            }
        }
        return worst;
    }

    private List<ContractResult> evaluateContracts(Collection<Contract> contracts) {
        Map<String, Map<Rank, Optional<RankTerms>>> rows = new TreeMap<>();
        for (Contract contract : contracts) {
            contract.ranks().forEach((rank, terms) -> termsByRank(rows, contract.caller())
                    .put(rank, Optional.of(terms)));
        }
        summary.callers().forEach((caller, byRank) -> byRank.keySet()
                .forEach(rank -> termsByRank(rows, caller).putIfAbsent(rank, Optional.empty())));
        List<ContractResult> found = new ArrayList<>();
        rows.forEach(
                (caller, byRank) -> byRank.forEach((rank, terms) -> found.add(evaluateContract(caller, rank, terms))));
        found.removeIf(result -> result.caller().equals(DaySummary.OTHER_CALLERS)
                && result.service().offered() == 0);
        found.sort(Comparator.comparing(ContractResult::rank).thenComparing(ContractResult::caller));
        return List.copyOf(found);
    }

    private static Map<Rank, Optional<RankTerms>> termsByRank(
            Map<String, Map<Rank, Optional<RankTerms>>> rows, String caller) {
        return rows.computeIfAbsent(caller, c -> new EnumMap<>(Rank.class));
    }

    private ContractResult evaluateContract(String caller, Rank rank, Optional<RankTerms> terms) {
        ServiceTotals service = summary.service(caller, rank);
        Floor floor =
                evaluateFloor(service, terms.map(RankTerms::floorTokensPerS).orElse(0.0));
        Optional<Reason> mainReason = mainReason(service);
        if (service.offered() == 0) {
            return new ContractResult(caller, rank, terms, service, Status.NO_REQUESTS, List.of(), floor, mainReason);
        }
        List<String> shortfalls = new ArrayList<>();
        boolean isLimited = false;
        if (service.withinDeadlineShare() < targets.withinDeadlineShare()) {
            isLimited = rank == Rank.BATCH && meetsTargetWithoutFleetRefusals(service);
            if (!isLimited) {
                shortfalls.add("had " + ReportFormat.percent(service.withinDeadlineShare()) + " of "
                        + ReportFormat.count(service.entitled(), "request") + " answered in time instead of "
                        + ReportFormat.percent(targets.withinDeadlineShare()));
            }
        }
        if (floor.state() == Floor.State.MISSED) {
            shortfalls.add("fell to " + ReportFormat.rate(floor.worstTokensPerS()) + " below its floor of "
                    + ReportFormat.rate(terms.orElseThrow().floorTokensPerS()) + " in "
                    + ReportFormat.count(floor.missedSlots(), "period") + " of 5 min");
        }
        if (rank == Rank.INTERACTIVE) {
            addLatencyShortfall(
                    shortfalls, service.firstToken(), targets.firstTokenMs(), "waited", "for the first token");
            addLatencyShortfall(
                    shortfalls, service.tokenInterval(), targets.tokenIntervalMs(), "waited", "between tokens");
        }
        Status status = !shortfalls.isEmpty() ? Status.MISSED : isLimited ? Status.LIMITED : Status.KEPT;
        return new ContractResult(caller, rank, terms, service, status, List.copyOf(shortfalls), floor, mainReason);
    }

    /**
     * Returns whether the requests that the fleet did not refuse meet the target. The fleet refuses batch work early in
     * a surge by design, as long as the floor is kept; late responses remain a shortfall.
     */
    private boolean meetsTargetWithoutFleetRefusals(ServiceTotals service) {
        long refusedByFleet = service.refused().entrySet().stream()
                .filter(entry -> ReasonAttribution.of(entry.getKey()) == ReasonAttribution.FLEET)
                .mapToLong(Map.Entry::getValue)
                .sum();
        long notRefused = service.entitled() - refusedByFleet;
        return notRefused <= 0 || (double) service.withinDeadline() / notRefused >= targets.withinDeadlineShare();
    }

    private void addLatencyShortfall(
            List<String> shortfalls, LatencyHistogram histogram, double limitMs, String verb, String what) {
        if (histogram.count() >= MIN_REQUESTS_FOR_PERCENTILE
                && histogram.shareAtOrBelow(limitMs) < targets.withinDeadlineShare()) {
            shortfalls.add(verb + " " + ReportFormat.ms(histogram.percentileMs(targets.withinDeadlineShare() * 100))
                    + " " + what + " at the 95th percentile instead of " + ReportFormat.ms(limitMs));
        }
    }

    private Floor evaluateFloor(ServiceTotals service, double floorTokensPerS) {
        if (floorTokensPerS <= 0) {
            return new Floor(Floor.State.NOT_PROMISED, 0, -1, 0);
        }
        if (service.unserved() > 0 && (summary.isCoarsened() || service.slots.isEmpty())) {
            return new Floor(Floor.State.UNKNOWN, 0, -1, 0);
        }
        int missed = 0;
        int worstSlot = -1;
        double worst = Double.MAX_VALUE;
        for (int slot = 0; slot < summary.day().slotCount(); slot++) {
            double tokensPerS = service.tokens(slot) * 1000.0 / DaySlots.SLOT_MS;
            if (service.unserved(slot) > 0 && tokensPerS < targets.floorShare() * floorTokensPerS) {
                missed++;
                if (tokensPerS < worst) {
                    worst = tokensPerS;
                    worstSlot = slot;
                }
            }
        }
        return missed == 0
                ? new Floor(Floor.State.KEPT, 0, -1, 0)
                : new Floor(Floor.State.MISSED, missed, worstSlot, worst);
    }

    private static Optional<Reason> mainReason(ServiceTotals service) {
        Map<Reason, Long> counts = new EnumMap<>(Reason.class);
        service.refused().forEach((reason, count) -> counts.merge(reason, count, Long::sum));
        service.failed().forEach((reason, count) -> counts.merge(reason, count, Long::sum));
        return counts.entrySet().stream()
                .filter(entry -> ReasonAttribution.of(entry.getKey()) == ReasonAttribution.FLEET)
                .max(Map.Entry.<Reason, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }
}
