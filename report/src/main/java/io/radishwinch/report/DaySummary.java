package io.radishwinch.report;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Service of one day as recorded by one or more routers. Instances are immutable. Merging the summaries of different
 * routers gives the same result in any order.
 */
public final class DaySummary {

    /** Largest number of callers listed by name; requests of further callers count under {@link #OTHER_CALLERS}. */
    public static final int MAX_CALLERS = 1_300;

    /** Label of callers beyond the limit; the parentheses are not allowed in names of contracts. */
    public static final String OTHER_CALLERS = "(other)";

    /** Largest number of events in a summary. */
    public static final int MAX_EVENTS = 400;

    /** Largest number of routers with recording coverage in a summary. */
    public static final int MAX_ROUTERS = 2_000;

    /** Events of equal kind, subject and text within this time are reports of one event by several routers. */
    private static final long DUPLICATE_EVENT_WINDOW_MS = 60_000;

    private static final Comparator<FleetEvent> EVENT_ORDER = Comparator.comparingLong(FleetEvent::atMs)
            .thenComparing(FleetEvent::kind)
            .thenComparing(FleetEvent::subject)
            .thenComparing(FleetEvent::text);

    private final Builder data;
    private final List<FleetEvent> events;

    private DaySummary(Builder data) {
        this.data = data;
        this.events = List.copyOf(data.sortedEvents());
    }

    /** Returns a builder of an empty summary. */
    public static Builder builder(DaySlots day) {
        return new Builder(day);
    }

    /**
     * Returns a summary with the data of both.
     *
     * @throws IllegalArgumentException if the other summary is of another day or time zone
     */
    public DaySummary merge(DaySummary other) {
        return builder(day()).add(this).add(other).build();
    }

    /** Returns the day and its slots. */
    public DaySlots day() {
        return data.day;
    }

    /** Returns the service by caller and rank; callers are sorted by name. */
    public Map<String, Map<Rank, ServiceTotals>> callers() {
        return Collections.unmodifiableMap(data.callers);
    }

    /** Returns the service of a caller in a rank; all counts are zero if there were no requests. */
    public ServiceTotals service(String caller, Rank rank) {
        ServiceTotals totals = data.callers.getOrDefault(caller, Map.of()).get(rank);
        return totals == null ? new ServiceTotals() : totals;
    }

    /** Returns the service of all callers in a rank. */
    public ServiceTotals service(Rank rank) {
        ServiceTotals sum = new ServiceTotals();
        data.callers.values().forEach(byRank -> {
            if (byRank.containsKey(rank)) {
                sum.add(byRank.get(rank));
            }
        });
        return sum;
    }

    /** Returns the service of all callers in a rank and slot. */
    public SlotTotals slot(Rank rank, int slot) {
        SlotTotals totals = data.slots.get(rank)[slot];
        return totals == null ? SlotTotals.ZERO : totals;
    }

    /** Returns the counts of the non-repeatable requests. */
    public ChargeTotals charges() {
        return data.charges;
    }

    /** Returns the events in order of time. */
    public List<FleetEvent> events() {
        return events;
    }

    /** Returns the number of events dropped beyond {@link #MAX_EVENTS}. */
    public long droppedEvents() {
        return data.droppedEvents;
    }

    /** Returns the recording coverage of each router, sorted by router. */
    public Collection<RecordingCoverage> recordingCoverage() {
        return Collections.unmodifiableCollection(data.coverageByRouter.values());
    }

    /** Returns whether detail was omitted to keep the encoded summary within its size limit. */
    public boolean isCoarsened() {
        return data.isCoarsened;
    }

    /** Collects the data of a summary. Not thread-safe. */
    public static final class Builder {
        final DaySlots day;
        final TreeMap<String, Map<Rank, ServiceTotals>> callers = new TreeMap<>();
        final Map<Rank, SlotTotals[]> slots = new EnumMap<>(Rank.class);
        final ChargeTotals charges = new ChargeTotals();
        final TreeMap<String, RecordingCoverage> coverageByRouter = new TreeMap<>();
        private final TreeSet<FleetEvent> events = new TreeSet<>(EVENT_ORDER);
        long droppedEvents;
        boolean isCoarsened;

        Builder(DaySlots day) {
            this.day = day;
            for (Rank rank : Rank.values()) {
                slots.put(rank, new SlotTotals[day.slotCount()]);
            }
        }

        /** Adds the outcome of one request to the slot in which it finished. */
        public Builder add(RequestOutcome outcome) {
            int slot = day.slotOf(outcome.finishedAtMs());
            totals(outcome.caller(), outcome.rank()).add(outcome, slot);
            boolean isCausedByCaller = outcome.reason()
                    .filter(reason -> ReasonAttribution.of(reason) == ReasonAttribution.CALLER)
                    .isPresent();
            addSlot(
                    outcome.rank(),
                    slot,
                    new SlotTotals(
                            1,
                            isCausedByCaller ? 0 : 1,
                            outcome.verdict() == Verdict.NOT_RUN ? 0 : 1,
                            outcome.isWithinDeadline() && outcome.reason().isEmpty() ? 1 : 0,
                            0,
                            (long) outcome.promptTokens() + outcome.answerTokens()));
            if (!outcome.isRepeatable()) {
                charges.add(outcome);
            }
            return this;
        }

        /** Counts a retry. */
        public Builder addRetry(String caller, Rank rank, Reason reason, long atMs) {
            totals(caller, rank).addRetry(reason);
            addSlot(rank, day.slotOf(atMs), new SlotTotals(0, 0, 0, 0, 1, 0));
            return this;
        }

        /** Counts a non-repeatable request that ran twice. */
        public Builder addDuplicateCharge(String requestId) {
            charges.addDuplicate(requestId);
            return this;
        }

        /** Adds an event; of reports of the same event by several routers only the earliest is kept. */
        public Builder add(FleetEvent event) {
            FleetEvent from = new FleetEvent(event.atMs() - DUPLICATE_EVENT_WINDOW_MS, event.kind(), "", "");
            FleetEvent to = new FleetEvent(event.atMs() + DUPLICATE_EVENT_WINDOW_MS + 1, event.kind(), "", "");
            for (FleetEvent known : List.copyOf(events.subSet(from, to))) {
                if (known.kind() == event.kind()
                        && known.subject().equals(event.subject())
                        && known.text().equals(event.text())) {
                    if (known.atMs() <= event.atMs()) {
                        return this;
                    }
                    events.remove(known);
                }
            }
            events.add(event);
            if (events.size() > MAX_EVENTS) {
                events.pollLast();
                droppedEvents++;
            }
            return this;
        }

        /** Adds recording coverage of a router; ignores further routers beyond {@link DaySummary#MAX_ROUTERS}. */
        public Builder add(RecordingCoverage added) {
            if (coverageByRouter.size() < MAX_ROUTERS || coverageByRouter.containsKey(added.routerId())) {
                coverageByRouter.merge(added.routerId(), added, RecordingCoverage::merge);
            }
            return this;
        }

        /**
         * Adds all data of a summary of the same day.
         *
         * @throws IllegalArgumentException if the summary is of another day or time zone
         */
        public Builder add(DaySummary other) {
            if (!other.day().equals(day)) {
                throw new IllegalArgumentException(
                        "cannot add a summary of " + other.day() + " to a summary of " + day);
            }
            other.data.callers.forEach((caller, byRank) ->
                    byRank.forEach((rank, totals) -> totals(caller, rank).add(totals)));
            other.data.slots.forEach((rank, array) -> {
                for (int slot = 0; slot < array.length; slot++) {
                    if (array[slot] != null) {
                        addSlot(rank, slot, array[slot]);
                    }
                }
            });
            charges.add(other.data.charges);
            other.events.forEach(this::add);
            other.data.coverageByRouter.values().forEach(this::add);
            droppedEvents += other.data.droppedEvents;
            isCoarsened |= other.data.isCoarsened;
            return this;
        }

        /** Returns a summary with a copy of the data; later additions to this builder do not change it. */
        public DaySummary build() {
            Builder copy = new Builder(day);
            callers.forEach((caller, byRank) -> byRank.forEach((rank, totals) -> copy.callers
                    .computeIfAbsent(caller, c -> new EnumMap<>(Rank.class))
                    .put(rank, totals.copy())));
            slots.forEach((rank, array) -> copy.slots.put(rank, array.clone()));
            copy.charges.add(charges);
            copy.events.addAll(events);
            copy.coverageByRouter.putAll(coverageByRouter);
            copy.droppedEvents = droppedEvents;
            copy.isCoarsened = isCoarsened;
            return new DaySummary(copy);
        }

        /** Returns a summary backed by this builder; it must not be used after the next addition. */
        DaySummary liveView() {
            return new DaySummary(this);
        }

        ServiceTotals totals(String caller, Rank rank) {
            boolean isKnown = callers.containsKey(caller) || caller.equals(OTHER_CALLERS);
            int namedCallers = callers.size() - (callers.containsKey(OTHER_CALLERS) ? 1 : 0);
            String label = isKnown || namedCallers < MAX_CALLERS ? caller : OTHER_CALLERS;
            return callers.computeIfAbsent(label, c -> new EnumMap<>(Rank.class))
                    .computeIfAbsent(rank, r -> new ServiceTotals());
        }

        void addSlot(Rank rank, int slot, SlotTotals added) {
            SlotTotals[] array = slots.get(rank);
            array[slot] = array[slot] == null ? added : array[slot].plus(added);
        }

        Collection<FleetEvent> sortedEvents() {
            return events;
        }
    }
}
