package io.radishwinch.core.chain;

import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LoadReport;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * One row of the endpoint table.
 *
 * <p>Only {@link EndpointTable} changes a row. A row stays in memory for a while after its endpoint is gone, so that a
 * leaving mark and the count of running attempts survive a late report.
 */
public final class EndpointRow {

    /** Weight of a new measurement in the moving average of the layer time. */
    private static final double LAYER_TIME_GAIN = 0.3;

    /**
     * Time for which measurements of this router count more than reports, in ms: an engine may not see its slowness.
     */
    private static final long STAGE_MEASUREMENT_TTL_MS = 10_000;

    /** Layer time assumed before the first measurement, in us. */
    private static final double DEFAULT_LAYER_TIME_US = 500;

    /** Time after which an endpoint that refused work is tried again without a new report, in ms; one report lag. */
    private static final long REFUSAL_BACKOFF_MS = 300;

    /** Doublings of that time while the endpoint goes on refusing; one second is the patience of most requests. */
    private static final int MAX_REFUSAL_BACKOFF_DOUBLINGS = 2;

    /** Time without a refusal after which the next one counts as the first again, in ms; some tries at full load. */
    private static final long REFUSAL_RESET_MS = 2_000;

    /** Weight of one attempt in the share of refused ones; about the last ten count. */
    private static final double REFUSAL_GAIN = 0.1;

    /**
     * Part of that share which is kept from tick to tick, so that an endpoint without work is tried again in seconds.
     */
    private static final double REFUSAL_DECAY_PER_TICK = 0.98;

    /** Share below which refusals are forgotten. */
    private static final double MIN_REFUSAL_SHARE = 0.02;

    /** Price of an endpoint that refuses everything, in us: that of five full endpoints elsewhere. */
    private static final double FULL_REFUSAL_PRICE_US = 5 * CostModel.FULL_SLOT_PRICE_US;

    /** Fast neighbours that the planner tries in addition to the cheapest candidates. */
    private static final int MAX_NEAREST_LINKS = 4;

    private final int index;
    private final int dataCentreIndex;
    private EndpointSpec spec;
    private List<Holding> holdings = List.of();
    private final InFlightHistory history = new InFlightHistory();

    final List<HeldRange> heldRanges = new ArrayList<>();
    final LinkMap outgoingLinks = new LinkMap();
    final List<Link> nearestLinks = new ArrayList<>(MAX_NEAREST_LINKS);
    final LinkedHashMap<Long, Integer> gapCountsByPrefixHash = new LinkedHashMap<>();
    int cacheGapCount;
    boolean removed;
    boolean leaving;
    boolean isReloading;
    long removedAtMs = Long.MIN_VALUE;
    double weight = 1;

    private int localAttempts;
    private long localKvBytes;
    private int peerAttempts;
    private long peerLoadAtMs = Long.MIN_VALUE;
    private int otherRouterAttempts;
    private long peerKvBytes;
    private long refusalBackoffEndMs = Long.MIN_VALUE;
    private boolean isRefusing;
    /** Tries in a row that the endpoint refused, each after the wait for the one before. */
    private int consecutiveRefusals;

    private double refusalShare;
    private int localAttemptsAtReport;
    private long localKvBytesAtReport;
    private double slotPriceUs = -1;
    private LoadReport loadReport;
    private long kvCapacityBytes;
    private double layerTimeUs = DEFAULT_LAYER_TIME_US;
    private boolean hasLayerTime;
    private long stageMeasuredAtMs = Long.MIN_VALUE;

    EndpointRow(int index, int zone, EndpointSpec spec) {
        this.index = index;
        this.dataCentreIndex = zone;
        this.spec = spec;
    }

    /** Returns the position of the row in the table; it never changes. */
    public int index() {
        return index;
    }

    /** Returns the number of the data centre, counted from zero in order of appearance. */
    public int dataCentreIndex() {
        return dataCentreIndex;
    }

    /** Returns the identifier. */
    public String id() {
        return spec.id();
    }

    /** Returns the fixed properties. */
    public EndpointSpec spec() {
        return spec;
    }

    /** Returns the layers held according to the latest load report. */
    public List<Holding> holdings() {
        return holdings;
    }

    /** Returns whether the endpoint is leaving. */
    public boolean isLeaving() {
        return leaving;
    }

    /** Returns whether the endpoint is dead or removed. */
    public boolean isRemoved() {
        return removed;
    }

    /** Returns whether the endpoint may receive new work: alive, not leaving, reloading or ejected. */
    public boolean isUsable() {
        return !removed && !leaving && !isReloading && weight > 0;
    }

    /** Returns whether the endpoint is usable and has a free slot. */
    public boolean hasFreeSlot() {
        return isUsable() && !isRefusing && occupiedSlots() < usableSlots();
    }

    /** Returns the attempts of this router on the endpoint. */
    public int localAttempts() {
        return localAttempts;
    }

    /** Returns the KV cache memory that the attempts of this router may use, in bytes. */
    public long localKvBytes() {
        return localKvBytes;
    }

    /** Returns the estimated attempts of all routers on the endpoint. */
    public int occupiedSlots() {
        return localAttempts + otherRouterAttempts;
    }

    /** Returns the slots that may be used, reduced during slow start and reinstatement, at least one. */
    public int usableSlots() {
        return Math.max(1, (int) (spec.slots() * weight));
    }

    /** Returns the time of one layer for one token, in us. */
    public double layerTimeUs() {
        return layerTimeUs;
    }

    /** Returns the measured time of one layer for one token in us, or 0 if there is no measurement. */
    double measuredLayerTimeUs() {
        return hasLayerTime ? layerTimeUs : 0;
    }

    /** Returns the load that the endpoint last reported, running and queued, without any correction. */
    public int reportedAttempts() {
        return loadReport == null ? 0 : loadReport.running() + loadReport.queued();
    }

    /** Returns the largest free KV cache memory that the endpoint reported, in bytes. */
    public long kvCapacityBytes() {
        return kvCapacityBytes;
    }

    /**
     * Returns the estimated free KV cache memory, in bytes.
     *
     * <p>An attempt fills its reservation over time. The estimate is therefore the smaller of the report corrected by
     * what changed since, and the capacity minus the reservations of all routers.
     */
    public long kvFreeBytes() {
        if (loadReport == null) {
            return 0;
        }
        long sinceReport = Math.max(0, localKvBytes - localKvBytesAtReport);
        return Math.min(loadReport.kvFreeBytes() - sinceReport, kvCapacityBytes - localKvBytes - peerKvBytes);
    }

    /** Keeps the links with the smallest delay, fastest first. */
    void updateNearestLinks(Link link) {
        nearestLinks.removeIf(near -> near == link || near.to.removed);
        int position = nearestLinks.size();
        while (position > 0 && nearestLinks.get(position - 1).delayUs > link.delayUs) {
            position--;
        }
        if (position < MAX_NEAREST_LINKS) {
            nearestLinks.add(position, link);
        }
        if (nearestLinks.size() > MAX_NEAREST_LINKS) {
            nearestLinks.remove(MAX_NEAREST_LINKS);
        }
    }

    /** Sets new fixed properties when an endpoint returns after its death; what it holds is unknown again. */
    void rejoin(EndpointSpec newSpec) {
        spec = newSpec;
        removed = false;
        hasLayerTime = false;
        isReloading = false;
        loadReport = null;
        otherRouterAttempts = 0;
        kvCapacityBytes = 0;
    }

    void setHoldings(List<Holding> newHoldings) {
        holdings = newHoldings;
    }

    void changeLocalLoad(int slots, long kvBytes, long nowMs) {
        isRefusing &= slots > 0 || hasRepeatedRefusals();
        refusalShare *= slots > 0 ? 1 - REFUSAL_GAIN : 1;
        localAttempts = Math.max(0, localAttempts + slots);
        localKvBytes = Math.max(0, localKvBytes + kvBytes);
        history.record(nowMs, localAttempts, localKvBytes);
    }

    void setPeerLoad(int running, long kvBytes, long nowMs) {
        peerAttempts = running;
        peerKvBytes = kvBytes;
        peerLoadAtMs = nowMs;
        otherRouterAttempts = running;
    }

    void setLoadReport(LoadReport newReport) {
        loadReport = newReport;
        isRefusing &= hasRepeatedRefusals();
        localAttemptsAtReport = history.runningAt(loadReport.measuredAtMs());
        localKvBytesAtReport = history.kvBytesAt(loadReport.measuredAtMs());
        kvCapacityBytes = Math.max(kvCapacityBytes, newReport.kvFreeBytes());
        boolean measuredLater = stageMeasuredAtMs > newReport.measuredAtMs() - STAGE_MEASUREMENT_TTL_MS;
        if (newReport.layerTimeUs() > 0 && !measuredLater) {
            averageLayerTime(newReport.layerTimeUs());
        }
    }

    /** Returns the price of one more slot, in us; recomputed when the table refreshes the row. */
    double slotPriceUs() {
        return slotPriceUs;
    }

    void refreshPrice() {
        double slotShare = (double) occupiedSlots() / usableSlots();
        double kvShare = kvCapacityBytes == 0 ? 0 : 1 - (double) kvFreeBytes() / kvCapacityBytes;
        slotPriceUs = CostModel.slotPriceUs(Math.max(slotShare, kvShare)) + refusalShare * FULL_REFUSAL_PRICE_US;
    }

    /** Notes that the endpoint refused work: it counts as full until its next load report or own finished attempt. */
    void recordRefusal(long nowMs) {
        isRefusing = true;
        refusalShare += REFUSAL_GAIN;
        if (nowMs >= refusalBackoffEndMs) {
            boolean isContinued = consecutiveRefusals > 0 && nowMs - refusalBackoffEndMs < REFUSAL_RESET_MS;
            consecutiveRefusals = isContinued ? consecutiveRefusals + 1 : 1;
            refusalBackoffEndMs =
                    nowMs + (REFUSAL_BACKOFF_MS << Math.min(consecutiveRefusals - 1, MAX_REFUSAL_BACKOFF_DOUBLINGS));
        }
    }

    /** An endpoint that leaves refuses new work while what it runs still ends, so that an end says nothing of it. */
    private boolean hasRepeatedRefusals() {
        return consecutiveRefusals > 1;
    }

    /** Ends the refusal once its time is over and lets earlier ones fade; returns whether that changed anything. */
    boolean decayRefusals(long nowMs) {
        boolean ends = isRefusing && nowMs >= refusalBackoffEndMs;
        isRefusing &= !ends;
        boolean fades = refusalShare > 0;
        refusalShare = refusalShare < MIN_REFUSAL_SHARE ? 0 : refusalShare * REFUSAL_DECAY_PER_TICK;
        return ends || fades;
    }

    void resetKvCapacity() {
        kvCapacityBytes = 0;
    }

    long reportedAtMs() {
        return loadReport == null ? Long.MIN_VALUE : loadReport.measuredAtMs();
    }

    /**
     * Recomputes the work of others: peers' own counts while they are fresh, otherwise the report minus what this
     * router ran when it was measured.
     */
    void refreshOtherRouterAttempts(long nowMs, long peerLoadValidMs) {
        boolean peersFresh = peerLoadAtMs != Long.MIN_VALUE && nowMs - peerLoadAtMs <= peerLoadValidMs;
        peerKvBytes = peersFresh ? peerKvBytes : 0;
        if (peersFresh) {
            otherRouterAttempts = peerAttempts;
        } else if (loadReport != null) {
            otherRouterAttempts = Math.max(0, reportedAttempts() - localAttemptsAtReport);
        } else {
            otherRouterAttempts = 0;
        }
    }

    void recordLayerTime(double measuredUs, long nowMs) {
        stageMeasuredAtMs = nowMs;
        averageLayerTime(measuredUs);
    }

    private void averageLayerTime(double measuredUs) {
        layerTimeUs = hasLayerTime ? layerTimeUs + LAYER_TIME_GAIN * (measuredUs - layerTimeUs) : measuredUs;
        hasLayerTime = true;
    }

    @Override
    public String toString() {
        return id();
    }
}
