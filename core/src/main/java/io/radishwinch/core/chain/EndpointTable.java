package io.radishwinch.core.chain;

import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Table of endpoints by identifier, with an index of their holdings by pool and layer boundary.
 *
 * <p>The table is deterministic and not thread-safe; the control thread owns it.
 */
public final class EndpointTable {

    /** Time-to-live of the load that peers send, in ms; peers send it every one to two seconds. */
    private static final long PEER_LOAD_TTL_MS = 5_000;

    /** Retention of the row of a removed endpoint, in ms; load reports and VM lists are delayed by less. */
    private static final long REMOVED_ROW_TTL_MS = 600_000;

    /** Hop delay used in the sort key of a candidate, in us; the planner uses the measured delay. */
    private static final double TYPICAL_HOP_US = 200;

    /** Smallest unexplained share of a token interval that is attributed to links. */
    private static final double MIN_UNEXPLAINED_SHARE = 0.2;

    /** Maximum number of leaving marks for endpoints that have not joined yet; the oldest is evicted first. */
    private static final int MAX_EARLY_LEAVING_IDS = 10_000;

    private static final int MAX_REQUEST_SHARES = 10_000;

    private final Map<String, EndpointRow> rows = new TreeMap<>();
    private final Map<String, PoolIndex> pools = new TreeMap<>();
    private final Map<String, Integer> dataCentreIndexes = new HashMap<>();
    private final LinkTable links;
    private final PrefixIndex prefixes = new PrefixIndex();
    private final CrossDataCentreBudget crossDataCentreBudget = new CrossDataCentreBudget();
    private final Set<String> earlyLeavingIds = new LinkedHashSet<>();
    /** Shares of the request limits of endpoints, also of those that have not joined. */
    private final Map<String, Double> requestSharesPerS = new HashMap<>();

    private long latestPauseEndMs = Long.MIN_VALUE;

    private FleetConfig config = FleetConfig.empty();
    private int nextIndex;
    private long structureVersion;

    /** Creates an empty table with the default link settings. */
    public EndpointTable() {
        this(LinkSettings.defaults());
    }

    /** Creates an empty table. */
    public EndpointTable(LinkSettings settings) {
        links = new LinkTable(settings);
    }

    /** Returns the rows ordered by identifier, including those of removed endpoints. */
    public Collection<EndpointRow> rows() {
        return Collections.unmodifiableCollection(rows.values());
    }

    /** Returns the row of an endpoint, or null if it is unknown. */
    public EndpointRow row(String endpointId) {
        return rows.get(endpointId);
    }

    /** Returns the configuration in effect. */
    public FleetConfig config() {
        return config;
    }

    /** Returns a version number that changes when endpoints, holdings or usability change. */
    public long structureVersion() {
        return structureVersion;
    }

    /**
     * Returns the endpoints that hold layers of a pool and are not removed or leaving, in the order in which their
     * holdings were added.
     */
    public List<EndpointRow> members(String pool) {
        PoolIndex index = pools.get(pool);
        Set<EndpointRow> members = new LinkedHashSet<>();
        if (index != null) {
            for (HeldRange entry : index.heldRanges()) {
                if (!entry.row.isLeaving) {
                    members.add(entry.row);
                }
            }
        }
        return List.copyOf(members);
    }

    /**
     * Returns whether usable endpoints hold every layer of a pool, and this router may send requests to one that holds
     * the first.
     */
    public boolean isCovered(ModelSpec pool) {
        return firstUncoveredLayer(pool, null) == pool.layerCount()
                && pools.get(pool.name()).heldRanges().stream()
                        .anyMatch(entry -> entry.first == 0 && entry.row.isUsable() && !entry.row.isEntryClosed());
    }

    /** Returns whether usable endpoints and holders of further layers together hold every layer of a pool. */
    boolean isCoveredWith(ModelSpec pool, Collection<LayerRange> furtherLayers) {
        BitSet held = new BitSet(pool.layerCount());
        furtherLayers.forEach(layers -> held.set(layers.first(), layers.end()));
        for (HeldRange entry : heldRanges(pool)) {
            boolean isClosedEntry = entry.first == 0 && entry.row.isEntryClosed();
            if (entry.row.isUsable() && !isClosedEntry) {
                held.set(entry.first, entry.end);
            }
        }
        return held.nextClearBit(0) >= pool.layerCount();
    }

    /**
     * Returns the lowest layer that no usable endpoint holds, or the layer count if all layers are held.
     *
     * @param ignored endpoint to leave out, or null
     */
    public int firstUncoveredLayer(ModelSpec pool, EndpointRow ignored) {
        return firstLayerWithout(pool, row -> row != ignored);
    }

    private int firstLayerWithout(ModelSpec pool, Predicate<EndpointRow> isConsidered) {
        int coveredEnd = 0;
        boolean isExtended = true;
        while (isExtended && coveredEnd < pool.layerCount()) {
            isExtended = false;
            for (HeldRange entry : heldRanges(pool)) {
                boolean extendsCover = entry.first <= coveredEnd && entry.end > coveredEnd;
                if (extendsCover && entry.row.isUsable() && isConsidered.test(entry.row)) {
                    coveredEnd = entry.end;
                    isExtended = true;
                }
            }
        }
        return Math.min(coveredEnd, pool.layerCount());
    }

    /** Returns the names of the pools for which some endpoint holds layers. */
    public Collection<String> poolNames() {
        return Collections.unmodifiableCollection(pools.keySet());
    }

    PoolIndex pool(String name) {
        return pools.get(name);
    }

    LinkTable links() {
        return links;
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    CrossDataCentreBudget crossDataCentreBudget() {
        return crossDataCentreBudget;
    }

    void setConfig(FleetConfig newConfig) {
        config = newConfig;
        double transferUs = newConfig.enginePools().values().stream()
                .mapToDouble(EnginePoolSpec::crossDataCentreTransferUs)
                .max()
                .orElse(0);
        links.setCrossDataCentreTransferUs(transferUs);
        crossDataCentreBudget.setTransferUs(transferUs);
        structureVersion++;
    }

    /** Adds an endpoint, or adds a removed one again; returns whether it joined. */
    boolean join(EndpointSpec spec) {
        EndpointRow row = rows.get(spec.id());
        if (row == null) {
            Integer dataCentreIndex =
                    dataCentreIndexes.computeIfAbsent(spec.dataCentre(), key -> dataCentreIndexes.size());
            EndpointRow added = new EndpointRow(nextIndex++, dataCentreIndex, spec);
            added.isLeaving = earlyLeavingIds.remove(spec.id());
            Double shareOfRequestsPerS = requestSharesPerS.get(spec.id());
            if (shareOfRequestsPerS != null) {
                added.setRequestShare(shareOfRequestsPerS, 0);
            }
            rows.put(spec.id(), added);
            structureVersion++;
            return true;
        }
        if (row.isRemoved && !row.isLeaving) {
            row.rejoin(spec);
            structureVersion++;
            return true;
        }
        return false;
    }

    /** Marks an endpoint as leaving, also if it has not joined yet; returns whether the mark is new. */
    boolean leave(String endpointId) {
        EndpointRow row = rows.get(endpointId);
        if (row == null) {
            if (earlyLeavingIds.size() == MAX_EARLY_LEAVING_IDS) {
                earlyLeavingIds.remove(earlyLeavingIds.iterator().next());
            }
            return earlyLeavingIds.add(endpointId);
        }
        if (row.isLeaving) {
            return false;
        }
        row.isLeaving = true;
        refreshCandidates(row);
        structureVersion++;
        return true;
    }

    /** Removes an endpoint from the index and returns whether it was listed; its row is retained. */
    boolean remove(String endpointId, long nowMs) {
        EndpointRow row = rows.get(endpointId);
        if (row == null || row.isRemoved) {
            return false;
        }
        row.isRemoved = true;
        row.removedAtMs = nowMs;
        replaceHoldings(row, List.of());
        prefixes.removeAll(row);
        return true;
    }

    /** Applies a load report unless it is older than the latest one or than the removal of the endpoint. */
    void applyLoadReport(LoadReport report, long nowMs) {
        EndpointRow row = rows.get(report.endpointId());
        if (row == null || row.isRemoved || report.measuredAtMs() < Math.max(row.removedAtMs, row.reportedAtMs())) {
            return;
        }
        if (!row.holdings().equals(report.holdings())) {
            // The loaded weights determine the free memory, so earlier load reports no longer apply.
            row.resetKvCapacity();
            replaceHoldings(row, report.holdings());
        }
        row.setLoadReport(report);
        row.refreshOtherRouterAttempts(nowMs, PEER_LOAD_TTL_MS);
        refreshCandidates(row);
    }

    /**
     * Removes the layers that an order makes the endpoint unload. Layers that it adds become usable with the next load
     * report.
     */
    void restrictHoldings(String endpointId, String pool, LayerRange ordered) {
        EndpointRow row = rows.get(endpointId);
        if (row == null || row.isRemoved) {
            return;
        }
        List<Holding> kept = new ArrayList<>();
        for (Holding holding : row.holdings()) {
            int first = Math.max(holding.layers().first(), ordered.first());
            int end = Math.min(holding.layers().end(), ordered.end());
            if (!holding.pool().equals(pool)) {
                kept.add(holding);
            } else if (first < end) {
                kept.add(new Holding(pool, new LayerRange(first, end)));
            }
        }
        replaceHoldings(row, kept);
        refreshCandidates(row);
    }

    /**
     * Records that an endpoint refused an attempt, which reflects its load more recently than the latest load report.
     */
    void recordRefusal(String endpointId, long nowMs) {
        EndpointRow row = rows.get(endpointId);
        if (row != null) {
            row.recordRefusal(nowMs);
            refreshCandidates(row);
        }
    }

    void setPeerLoad(String endpointId, int running, long kvBytes, long nowMs) {
        EndpointRow row = rows.get(endpointId);
        if (row != null) {
            row.setPeerLoad(running, kvBytes, nowMs);
            refreshCandidates(row);
        }
    }

    /** Limits the requests/s for which this router uses the endpoint as the first stage, also if it has not joined. */
    void setRequestShare(String endpointId, double requestsPerS, long nowMs) {
        if (requestsPerS == Double.POSITIVE_INFINITY) {
            requestSharesPerS.remove(endpointId);
        } else if (requestSharesPerS.containsKey(endpointId) || requestSharesPerS.size() < MAX_REQUEST_SHARES) {
            requestSharesPerS.put(endpointId, requestsPerS);
        }
        EndpointRow row = rows.get(endpointId);
        if (row != null) {
            row.setRequestShare(requestsPerS, nowMs);
        }
    }

    /** Sends nothing to an endpoint until the given time. */
    void pause(String endpointId, long untilMs) {
        EndpointRow row = rows.get(endpointId);
        if (row != null) {
            latestPauseEndMs = Math.max(latestPauseEndMs, untilMs);
            row.pause(untilMs);
            refreshCandidates(row);
        }
    }

    /**
     * Returns the time in ms from which every layer of a pool is held by some endpoint that has asked for no pause, or
     * the given time if that is so already, or if pauses are not what keeps a layer from being held.
     */
    long pauseEndMs(ModelSpec pool, long nowMs) {
        if (nowMs >= latestPauseEndMs) {
            return nowMs;
        }
        long endMs = nowMs;
        int openLayer = firstPausedLayer(pool, endMs);
        while (openLayer < pool.layerCount()) {
            long nextEndMs = Long.MAX_VALUE;
            for (HeldRange entry : heldRanges(pool)) {
                boolean holdsLayer = entry.first <= openLayer && entry.end > openLayer;
                if (holdsLayer && entry.row.isUsable() && entry.row.isPaused(endMs)) {
                    nextEndMs = Math.min(nextEndMs, entry.row.pausedUntilMs());
                }
            }
            if (nextEndMs == Long.MAX_VALUE) {
                return nowMs;
            }
            endMs = nextEndMs;
            openLayer = firstPausedLayer(pool, endMs);
        }
        return endMs;
    }

    private int firstPausedLayer(ModelSpec pool, long atMs) {
        return firstLayerWithout(pool, row -> !row.isPaused(atMs));
    }

    private Collection<HeldRange> heldRanges(ModelSpec pool) {
        PoolIndex index = pools.get(pool.name());
        return index == null ? List.of() : index.heldRanges();
    }

    void recordLayerTime(String endpointId, double layerTimeUs, long nowMs) {
        EndpointRow row = rows.get(endpointId);
        if (row != null && layerTimeUs > 0) {
            row.recordLayerTime(layerTimeUs, nowMs);
            refreshCandidates(row);
        }
    }

    void recordLink(String fromId, String toId, double delayUs, double tokensPerS, long nowMs) {
        EndpointRow from = rows.get(fromId);
        EndpointRow to = rows.get(toId);
        if (from != null && to != null && from != to) {
            links.recordMeasurement(from, to, delayUs, tokensPerS, nowMs);
        }
    }

    /**
     * Records the token times of a completed response.
     *
     * <p>The difference between the measured and the expected token interval is attributed in equal parts to those
     * links of the chain that have no recent direct measurement.
     */
    void recordTokenTimes(Chain chain, double firstTokenMs, double tokenIntervalMs, long nowMs) {
        links.recordTokenInterval(tokenIntervalMs);
        PoolIndex index = poolOf(chain);
        if (index != null) {
            index.recordTokenTimes(firstTokenMs, tokenIntervalMs);
        }
        if (tokenIntervalMs <= 0 || !links.infersDelays()) {
            return;
        }
        double unexplainedUs = tokenIntervalMs * 1_000;
        List<EndpointRow> senders = new ArrayList<>();
        List<EndpointRow> receivers = new ArrayList<>();
        EndpointRow previous = null;
        for (Stage stage : chain.stages()) {
            EndpointRow row = rows.get(stage.endpointId());
            if (row == null) {
                return;
            }
            unexplainedUs -= stage.layers().size() * row.layerTimeUs();
            if (previous != null) {
                unexplainedUs -= links.unloadedDelayUs(previous, row, nowMs);
                if (!links.hasDirectMeasurement(previous, row, nowMs)) {
                    senders.add(previous);
                    receivers.add(row);
                }
            }
            previous = row;
        }
        // Token intervals vary by several percent, which exceeds the delay of most links.
        if (Math.abs(unexplainedUs) < MIN_UNEXPLAINED_SHARE * tokenIntervalMs * 1_000) {
            return;
        }
        for (int i = 0; i < senders.size(); i++) {
            links.correctDelay(senders.get(i), receivers.get(i), unexplainedUs / senders.size(), nowMs);
        }
    }

    private PoolIndex poolOf(Chain chain) {
        EndpointRow row = rows.get(chain.firstStage().endpointId());
        boolean hasSingleRange = row != null && row.heldRanges.size() == 1;
        return hasSingleRange ? pools.get(row.heldRanges.get(0).pool) : null;
    }

    /** Sets whether the endpoint is replacing its layers by order of this router; it receives no new work meanwhile. */
    void setReloading(EndpointRow row, boolean isReloading) {
        if (row.isReloading != isReloading) {
            row.isReloading = isReloading;
            refreshCandidates(row);
            structureVersion++;
        }
    }

    void setWeight(EndpointRow row, double weight) {
        if (row.weight != weight) {
            boolean hasUsabilityChanged = row.weight == 0 || weight == 0;
            row.weight = weight;
            refreshCandidates(row);
            structureVersion += hasUsabilityChanged ? 1 : 0;
        }
    }

    /** Adds or removes the load of one request on every stage; {@code sign} is 1 or -1. */
    void changeLocalLoad(Chain chain, RequestSpec request, int sign, long nowMs) {
        ModelSpec pool = config.pool(request.pool());
        PoolIndex index = pools.get(request.pool());
        if (index != null && sign > 0) {
            index.recordRequestSize(request.costTokens(), request.maxNewTokens());
        }
        if (sign > 0) {
            crossDataCentreBudget.consume(chain, rows::get, nowMs);
        }
        EndpointRow previous = null;
        for (Stage stage : chain.stages()) {
            EndpointRow row = rows.get(stage.endpointId());
            if (row != null) {
                if (previous == null && sign > 0) {
                    row.recordEntry();
                }
                long kvBytes =
                        pool == null ? 0 : kvBytes(pool, request, stage.layers().size());
                row.changeLocalLoad(sign, sign * kvBytes, nowMs);
                if (sign > 0) {
                    prefixes.recordSentPrefixes(row, request.prefixHashes());
                }
                refreshCandidates(row);
                Link link = previous == null ? null : previous.outgoingLinks.get(row.index());
                if (link != null) {
                    link.localStreams = Math.max(0, link.localStreams + sign);
                }
            }
            previous = row;
        }
    }

    /** Returns the KV cache memory of a request for a number of layers, in bytes. */
    static long kvBytes(ModelSpec pool, RequestSpec request, int layers) {
        return request.reservedTokens() * pool.kvBytesPerToken() / pool.layerCount() * layers;
    }

    /** Ends expired refusal backoffs and decays the refused shares. */
    void decayRefusals(long nowMs) {
        for (EndpointRow row : rows.values()) {
            if (row.decayRefusals(nowMs)) {
                refreshCandidates(row);
            }
        }
    }

    /** Drops rows after their retention and recomputes loads for which the counts of peers have become stale. */
    void expireStaleState(long nowMs) {
        rows.values().removeIf(row -> row.isRemoved && nowMs - row.removedAtMs > REMOVED_ROW_TTL_MS);
        for (EndpointRow row : rows.values()) {
            if (!row.isRemoved) {
                row.refreshOtherRouterAttempts(nowMs, PEER_LOAD_TTL_MS);
                refreshCandidates(row);
            }
        }
    }

    private void replaceHoldings(EndpointRow row, List<Holding> holdings) {
        for (HeldRange entry : row.heldRanges) {
            pools.get(entry.pool).remove(entry);
        }
        row.heldRanges.clear();
        row.setHoldings(holdings);
        for (Holding holding : holdings) {
            HeldRange entry = new HeldRange(
                    row,
                    holding.pool(),
                    holding.layers().first(),
                    holding.layers().end());
            row.heldRanges.add(entry);
            pools.computeIfAbsent(holding.pool(), key -> new PoolIndex()).add(entry);
        }
        structureVersion++;
    }

    void refreshCandidates(EndpointRow row) {
        boolean hasFreeSlot = row.hasFreeSlot();
        row.refreshPrice();
        for (HeldRange entry : row.heldRanges) {
            if (hasFreeSlot) {
                pools.get(entry.pool).list(entry, score(entry));
            } else {
                pools.get(entry.pool).unlist(entry);
            }
        }
    }

    private static double score(HeldRange entry) {
        double hopUs = (TYPICAL_HOP_US + entry.slotPriceUs()) / entry.size();
        return entry.row.layerTimeUs() + hopUs;
    }
}
