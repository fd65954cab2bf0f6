package io.radishwinch.core.queue;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queue with contracted floors, strict priority between ranks, and fair sharing by token cost between the callers of a
 * rank.
 *
 * <p>Callers below their floor are served first, in the order of ranks, and within a rank the caller that has been
 * below its floor for the longest time. The floor is tracked by a virtual clock (L. Zhang, "VirtualClock: a new traffic
 * control algorithm for packet switching networks", SIGCOMM 1990). All other requests are served by rank. Within a rank
 * and pool they are ordered by start-time fair queueing (P. Goyal, H. Vin, H. Cheng, "Start-time fair queueing",
 * SIGCOMM 1996) with the weight of the contract and the expected tokens as cost; {@link #correctCharge} corrects the
 * tags to the tokens used.
 *
 * <p>A part of the capacity is reserved for each rank. A caller may queue at most as many requests of a rank as the
 * rank has free capacity (dynamic thresholds, A. Choudhury, E. Hahne, "Dynamic queue length thresholds for
 * shared-memory packet switches", IEEE/ACM Transactions on Networking 6(2), 1998), so that a flood of one caller leaves
 * capacity for others. When floods of several callers fill a rank, a caller with fewer requests displaces the newest
 * request of the caller with the most.
 *
 * <p>{@code poll} examines at most one request per rank and pool, so its time does not depend on the queue length.
 */
public final class RankedFairQueue implements RequestQueue {

    private record AccountKey(String caller, Rank rank) {}

    private record Charge(Flow flow, double tokens, boolean isForFloor) {}

    private static final long SWEEP_INTERVAL_MS = 1_000;
    /** Retention of idle accounts in ms; they hold the measured use of reserved tokens. */
    private static final long ACCOUNT_TTL_MS = 60_000;

    private static final Comparator<CallerAccount> BY_SIZE =
            Comparator.<CallerAccount>comparingInt(account -> account.queued).thenComparing(account -> account.caller);

    private final QueueSettings settings;
    private final Entitlements entitlements;
    private final DeadlineIndex deadlines;
    private final Map<Rank, TreeMap<String, Lane>> lanes = new EnumMap<>(Rank.class);
    private final Map<Rank, TreeSet<CallerAccount>> accountsBySize = new EnumMap<>(Rank.class);
    private final Map<AccountKey, CallerAccount> accounts = new HashMap<>();
    private final Map<String, Flow.QueuedRequest> queuedById = new HashMap<>();
    private final Map<String, Charge> chargesById = new HashMap<>();
    private final int[] queuedByRank = new int[Rank.values().length];
    private long nextSequence;
    private long nextFrontSequence = -1;
    private long sweptAtMs;

    /** Creates an empty queue. */
    public RankedFairQueue(QueueSettings settings, Entitlements entitlements, DeadlineIndex deadlines) {
        this.settings = settings;
        this.entitlements = entitlements;
        this.deadlines = deadlines;
        for (Rank rank : Rank.values()) {
            lanes.put(rank, new TreeMap<>());
            accountsBySize.put(rank, new TreeSet<>(BY_SIZE));
        }
    }

    @Override
    public boolean offer(RequestSpec request, long nowMs, Consumer<RequestSpec> displaced) {
        CallerAccount account = accounts.get(new AccountKey(request.caller(), request.rank()));
        int queued = account == null ? 0 : account.queued;
        int free = freeCapacity(request.rank());
        if (free <= 0) {
            Optional<Flow.QueuedRequest> newest = newestDisplaceable(request.rank(), queued + 1);
            if (newest.isEmpty()) {
                return false;
            }
            removeEntry(newest.get());
            displaced.accept(newest.get().request());
        } else if (queued >= free) {
            return false;
        }
        add(new Flow.QueuedRequest(nextSequence++, request, false, flow(request, nowMs)), nowMs);
        return true;
    }

    /**
     * Returns the newest request of the caller with the most requests of the rank, if it has more than the given
     * number.
     */
    private Optional<Flow.QueuedRequest> newestDisplaceable(Rank rank, int moreThan) {
        TreeSet<CallerAccount> accountsOfRank = accountsBySize.get(rank);
        if (accountsOfRank.isEmpty() || accountsOfRank.last().queued <= moreThan) {
            return Optional.empty();
        }
        return accountsOfRank.last().flows.stream()
                .filter(flow -> !flow.queued.isEmpty())
                .map(flow -> flow.queued.lastEntry().getValue())
                .filter(queued -> !queued.isCharged())
                .max(Comparator.comparingLong(Flow.QueuedRequest::sequence));
    }

    private void adjustQueuedCount(CallerAccount account, int change) {
        TreeSet<CallerAccount> accountsOfRank = accountsBySize.get(account.rank);
        accountsOfRank.remove(account);
        account.queued += change;
        queuedByRank[account.rank.ordinal()] += change;
        if (account.queued > 0) {
            accountsOfRank.add(account);
        }
    }

    @Override
    public void requeue(RequestSpec request, long nowMs) {
        add(
                new Flow.QueuedRequest(
                        nextFrontSequence--,
                        request,
                        chargesById.containsKey(request.requestId()),
                        flow(request, nowMs)),
                nowMs);
    }

    /** Returns the free capacity of a rank: the total free capacity without the unused reserves of other ranks. */
    private int freeCapacity(Rank rank) {
        int reserve = (int) (settings.capacity() * settings.rankReserveShare());
        int free = settings.capacity() - queuedById.size();
        for (Rank other : Rank.values()) {
            if (other != rank) {
                free -= Math.max(0, reserve - queuedByRank[other.ordinal()]);
            }
        }
        return free;
    }

    private void add(Flow.QueuedRequest queued, long nowMs) {
        Flow flow = queued.flow();
        CallerAccount account = flow.account;
        account.floorTokensPerS = entitlements.floorTokensPerS(account.caller, account.rank);
        flow.lane.detach(flow);
        if (flow.queued.isEmpty()) {
            flow.startTag = Math.max(flow.startTag, flow.lane.virtualTime);
        }
        flow.queued.put(queued.sequence(), queued);
        flow.lane.attach(flow);
        account.lastUsedAtMs = nowMs;
        adjustQueuedCount(account, 1);
        queuedById.put(queued.request().requestId(), queued);
        deadlines.add(queued.request());
    }

    private Flow flow(RequestSpec request, long nowMs) {
        CallerAccount account = accounts.computeIfAbsent(
                new AccountKey(request.caller(), request.rank()),
                key -> new CallerAccount(key.caller(), key.rank(), nowMs, settings.floorBurstMs()));
        Lane lane = lanes.get(request.rank())
                .computeIfAbsent(request.pool(), pool -> new Lane(request.rank(), request.pool()));
        return lane.flowsByCaller.computeIfAbsent(request.caller(), caller -> {
            Flow flow = new Flow(account, lane);
            account.flows.add(flow);
            return flow;
        });
    }

    @Override
    public Optional<RequestSpec> poll(Predicate<RequestSpec> dispatchable, long nowMs) {
        Set<Lane> tried = new HashSet<>();
        for (TreeMap<String, Lane> lanesOfRank : lanes.values()) {
            for (Lane lane : lanesOfRank.values()) {
                Flow flow = lane.nextBelowFloor(nowMs);
                if (flow != null
                        && tried.add(lane)
                        && dispatchable.test(flow.head().request())) {
                    lane.advanceVirtualTime();
                    return Optional.of(take(flow, true, nowMs));
                }
            }
        }
        for (TreeMap<String, Lane> lanesOfRank : lanes.values()) {
            for (Lane lane : lanesOfRank.values()) {
                if (lane.isEmpty() || !tried.add(lane)) {
                    continue;
                }
                Flow flow = lane.nextInFairOrder();
                if (dispatchable.test(flow.head().request())) {
                    lane.advanceVirtualTime();
                    return Optional.of(take(flow, false, nowMs));
                }
            }
        }
        return Optional.empty();
    }

    private RequestSpec take(Flow flow, boolean isForFloor, long nowMs) {
        Flow.QueuedRequest head = flow.head();
        RequestSpec request = head.request();
        CallerAccount account = flow.account;
        removeEntry(head);
        if (head.isCharged()) {
            chargesById.computeIfPresent(
                    request.requestId(), (id, charge) -> new Charge(charge.flow(), charge.tokens(), isForFloor));
            return request;
        }
        double tokens = account.expectedTokens(request.costTokens());
        chargesById.put(request.requestId(), new Charge(flow, tokens, isForFloor));
        account.running++;
        updateTags(account, () -> {
            account.charge(tokens, nowMs, settings.floorBurstMs());
            flow.startTag += tokens / entitlements.weight(account.caller);
        });
        return request;
    }

    @Override
    public Optional<RequestSpec> peek(Rank rank, String pool) {
        Lane lane = lanes.get(rank).get(pool);
        return lane == null || lane.isEmpty()
                ? Optional.empty()
                : Optional.of(lane.nextInFairOrder().head().request());
    }

    @Override
    public boolean remove(String requestId) {
        Flow.QueuedRequest queued = queuedById.get(requestId);
        if (queued == null) {
            return false;
        }
        removeEntry(queued);
        return true;
    }

    @Override
    public List<RequestSpec> removeExpired(long nowMs) {
        List<RequestSpec> expired = new ArrayList<>();
        for (Optional<RequestSpec> next = deadlines.expired(nowMs); next.isPresent(); next = deadlines.expired(nowMs)) {
            expired.add(next.get());
            remove(next.get().requestId());
        }
        if (nowMs - sweptAtMs >= SWEEP_INTERVAL_MS) {
            sweptAtMs = nowMs;
            removeIdleEntries(nowMs);
        }
        return expired;
    }

    private void removeEntry(Flow.QueuedRequest queued) {
        Flow flow = queued.flow();
        flow.lane.detach(flow);
        flow.queued.remove(queued.sequence());
        flow.lane.attach(flow);
        adjustQueuedCount(flow.account, -1);
        queuedById.remove(queued.request().requestId());
        deadlines.remove(queued.request());
    }

    @Override
    public void correctCharge(RequestSpec request, long usedTokens) {
        Charge charge = chargesById.remove(request.requestId());
        if (charge == null) {
            return;
        }
        Flow flow = charge.flow();
        CallerAccount account = flow.account;
        account.running--;
        updateTags(account, () -> {
            account.correctCharge(request.costTokens(), charge.tokens(), usedTokens);
            double correction = (usedTokens - charge.tokens()) / entitlements.weight(account.caller);
            // As in start-time fair queueing, a flow earns no credit for times before the virtual time.
            flow.startTag = Math.max(flow.lane.virtualTime, flow.startTag + correction);
        });
    }

    /** Changes tags of an account while its flows are removed from the ordered sets. */
    private static void updateTags(CallerAccount account, Runnable change) {
        account.flows.forEach(flow -> flow.lane.detach(flow));
        change.run();
        account.flows.forEach(flow -> flow.lane.attach(flow));
    }

    /** Removes flows and accounts without requests whose tags no longer affect the order, which bounds the tables. */
    private void removeIdleEntries(long nowMs) {
        for (TreeMap<String, Lane> lanesOfRank : lanes.values()) {
            lanesOfRank.values().forEach(Lane::removeIdleFlows);
            lanesOfRank.values().removeIf(lane -> lane.flowsByCaller.isEmpty());
        }
        accounts.values().removeIf(account -> account.isIdleSince(nowMs - ACCOUNT_TTL_MS));
    }

    @Override
    public boolean isPolledForFloor(String requestId) {
        Charge charge = chargesById.get(requestId);
        return charge != null && charge.isForFloor();
    }

    @Override
    public int size() {
        return queuedById.size();
    }
}
