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
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Endpoints by identifier, with an index of their holdings by pool and layer boundary.
 *
 * <p>Deterministic and not thread-safe; the control thread owns it.
 */
public final class EndpointTable {

    /** Age after which a count of peers' work is ignored, in ms; peers send it every second or two. */
    private static final long PEER_LOAD_TTL_MS = 5_000;

    /** Time for which the row of a removed endpoint is kept, in ms; reports and VM lists lag by less. */
    private static final long REMOVED_ROW_TTL_MS = 600_000;

    /** Cost of a hop in the sort key of a candidate, in us; the planner itself uses the measured delay. */
    private static final double TYPICAL_HOP_US = 200;

    /** Share of a token interval that must be unexplained before links are blamed for it. */
    private static final double MIN_UNEXPLAINED_SHARE = 0.2;

    /** Leaving marks kept for endpoints that are not known yet; the oldest is dropped first. */
    private static final int MAX_EARLY_LEAVING_IDS = 10_000;

    private final Map<String, EndpointRow> rows = new TreeMap<>();
    private final Map<String, PoolIndex> pools = new TreeMap<>();
    private final Map<String, Integer> dataCentreIndexes = new HashMap<>();
    private final LinkTable links;
    private final PrefixIndex prefixes = new PrefixIndex();
    private final CrossDataCentreBudget crossDataCentreBudget = new CrossDataCentreBudget();
    private final Set<String> earlyLeavingIds = new LinkedHashSet<>();
    private FleetConfig config = FleetConfig.empty();
    private int nextIndex;
    private long structureVersion;

    /** Creates an empty table with the default assumptions about links. */
    public EndpointTable() {
        this(LinkSettings.defaults());
    }

    /** Creates an empty table. */
    public EndpointTable(LinkSettings settings) {
        links = new LinkTable(settings);
    }

    /** Returns the rows ordered by identifier, including those that are gone. */
    public Collection<EndpointRow> rows() {
        return Collections.unmodifiableCollection(rows.values());
    }

    /** Returns the row of an endpoint, or null if it is unknown. */
    public EndpointRow row(String endpointId) {
        return rows.get(endpointId);
    }

    /** Returns the configuration in force. */
    public FleetConfig config() {
        return config;
    }

    /** Returns a number that changes whenever endpoints, holdings or usability change. */
    public long structureVersion() {
        return structureVersion;
    }

    /** Returns the endpoints that hold layers of a pool and are neither gone nor leaving, in order of appearance. */
    public List<EndpointRow> members(String pool) {
        PoolIndex index = pools.get(pool);
        Set<EndpointRow> members = new LinkedHashSet<>();
        if (index != null) {
            for (HeldRange entry : index.heldRanges()) {
                if (!entry.row.leaving) {
                    members.add(entry.row);
                }
            }
        }
        return List.copyOf(members);
    }

    /** Returns whether usable endpoints hold every layer of a pool. */
    public boolean isCovered(ModelSpec pool) {
        return firstUncoveredLayer(pool, null) == pool.layerCount();
    }

    /** Returns the lowest layer that no usable endpoint other than the given one holds, or the layer count. */
    public int firstUncoveredLayer(ModelSpec pool, EndpointRow without) {
        PoolIndex index = pools.get(pool.name());
        int covered = 0;
        boolean extended = index != null;
        while (extended && covered < pool.layerCount()) {
            extended = false;
            for (HeldRange entry : index.heldRanges()) {
                if (entry.row != without && entry.row.isUsable() && entry.first <= covered && entry.end > covered) {
                    covered = entry.end;
                    extended = true;
                }
            }
        }
        return Math.min(covered, pool.layerCount());
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
        double crossingUs = newConfig.enginePools().values().stream()
                .mapToDouble(EnginePoolSpec::crossDataCentreTransferUs)
                .max()
                .orElse(0);
        links.setCrossDataCentreTransferUs(crossingUs);
        crossDataCentreBudget.setTransferUs(crossingUs);
        structureVersion++;
    }

    /** Adds an endpoint, or revives one that was gone; returns whether it is new to the table. */
    boolean join(EndpointSpec spec) {
        EndpointRow row = rows.get(spec.id());
        if (row == null) {
            Integer zone = dataCentreIndexes.computeIfAbsent(spec.dataCentre(), key -> dataCentreIndexes.size());
            EndpointRow added = new EndpointRow(nextIndex++, zone, spec);
            added.leaving = earlyLeavingIds.remove(spec.id());
            rows.put(spec.id(), added);
            structureVersion++;
            return true;
        }
        if (row.removed && !row.leaving) {
            row.rejoin(spec);
            structureVersion++;
            return true;
        }
        return false;
    }

    /** Marks an endpoint as leaving, also before it is known; returns whether the mark is new. */
    boolean leave(String endpointId) {
        EndpointRow row = rows.get(endpointId);
        if (row == null) {
            if (earlyLeavingIds.size() == MAX_EARLY_LEAVING_IDS) {
                earlyLeavingIds.remove(earlyLeavingIds.iterator().next());
            }
            return earlyLeavingIds.add(endpointId);
        }
        if (row.leaving) {
            return false;
        }
        row.leaving = true;
        refreshCandidates(row);
        structureVersion++;
        return true;
    }

    /** Removes an endpoint from the index; returns whether it was alive. */
    boolean remove(String endpointId, long nowMs) {
        EndpointRow row = rows.get(endpointId);
        if (row == null || row.removed) {
            return false;
        }
        row.removed = true;
        row.removedAtMs = nowMs;
        replaceHoldings(row, List.of());
        prefixes.removeAll(row);
        return true;
    }

    /** Applies a load report unless it is older than the latest one or than the death of the endpoint. */
    void applyLoadReport(LoadReport report, long nowMs) {
        EndpointRow row = rows.get(report.endpointId());
        if (row == null || row.removed || report.measuredAtMs() < Math.max(row.removedAtMs, row.reportedAtMs())) {
            return;
        }
        if (!row.holdings().equals(report.holdings())) {
            // The weights held determine the memory that is left, so an earlier reading says nothing of it.
            row.resetKvCapacity();
            replaceHoldings(row, report.holdings());
        }
        row.setLoadReport(report);
        row.refreshOtherRouterAttempts(nowMs, PEER_LOAD_TTL_MS);
        refreshCandidates(row);
    }

    /** Takes the layers that an order gives up out of use; those that it adds come with a load report. */
    void restrictHoldings(String endpointId, String pool, LayerRange ordered) {
        EndpointRow row = rows.get(endpointId);
        if (row == null || row.removed) {
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

    /** Notes that an endpoint refused an attempt, which is a fresher sign of its load than the last report. */
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
     * Attributes the difference between the measured and the expected token interval of a chain to those of its links
     * that were not measured directly of late, in equal parts.
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
        List<EndpointRow> from = new ArrayList<>();
        List<EndpointRow> to = new ArrayList<>();
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
                    from.add(previous);
                    to.add(row);
                }
            }
            previous = row;
        }
        // Token times vary by several percent, which is more than the delay of most links.
        if (Math.abs(unexplainedUs) < MIN_UNEXPLAINED_SHARE * tokenIntervalMs * 1_000) {
            return;
        }
        for (int i = 0; i < from.size(); i++) {
            links.correctDelay(from.get(i), to.get(i), unexplainedUs / from.size(), nowMs);
        }
    }

    private PoolIndex poolOf(Chain chain) {
        EndpointRow row = rows.get(chain.firstStage().endpointId());
        boolean isKnown = row != null && row.heldRanges.size() == 1;
        return isKnown ? pools.get(row.heldRanges.get(0).pool) : null;
    }

    /** Marks an endpoint that this router ordered to replace its layers; it receives no new work meanwhile. */
    void setReloading(EndpointRow row, boolean reloading) {
        if (row.isReloading != reloading) {
            row.isReloading = reloading;
            refreshCandidates(row);
            structureVersion++;
        }
    }

    void setWeight(EndpointRow row, double weight) {
        if (row.weight != weight) {
            boolean usabilityChanged = row.weight == 0 || weight == 0;
            row.weight = weight;
            refreshCandidates(row);
            structureVersion += usabilityChanged ? 1 : 0;
        }
    }

    /** Adds or removes the work of one request on every stage; {@code sign} is 1 or -1. */
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

    /** Tries endpoints that refused work again after a while. */
    void decayRefusals(long nowMs) {
        for (EndpointRow row : rows.values()) {
            if (row.decayRefusals(nowMs)) {
                refreshCandidates(row);
            }
        }
    }

    /** Recomputes what depends on time: stale counts of peers, and rows kept after removal. */
    void expireStaleState(long nowMs) {
        rows.values().removeIf(row -> row.removed && nowMs - row.removedAtMs > REMOVED_ROW_TTL_MS);
        for (EndpointRow row : rows.values()) {
            if (!row.removed) {
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
        boolean free = row.hasFreeSlot();
        row.refreshPrice();
        for (HeldRange entry : row.heldRanges) {
            if (free) {
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
