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
    private static final long STAGE_TIME_VALID_MS = 10_000;

    /** Layer time assumed before the first measurement, in us. */
    private static final double DEFAULT_LAYER_TIME_US = 500;

    /** Time after which an endpoint that refused work is tried again without a new report, in ms; one report lag. */
    private static final long REFUSING_MS = 300;

    /** Doublings of that time while the endpoint goes on refusing; one second is the patience of most requests. */
    private static final int MAX_REFUSAL_DOUBLINGS = 2;

    /** Time without a refusal after which the next one counts as the first again, in ms; some tries at full load. */
    private static final long REFUSALS_FORGOTTEN_MS = 2_000;

    /** Weight of one attempt in the share of refused ones; about the last ten count. */
    private static final double REFUSAL_GAIN = 0.1;

    /**
     * Part of that share which is kept from tick to tick, so that an endpoint without work is tried again in seconds.
     */
    private static final double REFUSAL_KEPT = 0.98;

    /** Share below which refusals are forgotten. */
    private static final double MIN_REFUSAL_SHARE = 0.02;

    /** Price of an endpoint that refuses everything, in us: that of five full endpoints elsewhere. */
    private static final double REFUSAL_PRICE_US = 5 * CostModel.FULL_SLOT_PRICE_US;

    /** Fast neighbours that the planner tries in addition to the cheapest candidates. */
    private static final int NEAREST = 4;

    private final int index;
    private final int zone;
    private EndpointSpec spec;
    private List<Holding> holdings = List.of();
    private final InFlightHistory history = new InFlightHistory();

    final List<HeldRange> entries = new ArrayList<>();
    final LinkMap outgoing = new LinkMap();
    final List<Link> nearest = new ArrayList<>(NEAREST);
    final LinkedHashMap<Long, Integer> prefixes = new LinkedHashMap<>();
    int cacheGaps;
    boolean gone;
    boolean leaving;
    boolean reloading;
    long goneAtMs = Long.MIN_VALUE;
    double weight = 1;

    private int own;
    private long ownKvBytes;
    private int peers;
    private long peersAtMs = Long.MIN_VALUE;
    private int background;
    private long peersKvBytes;
    private long refusingUntilMs = Long.MIN_VALUE;
    private boolean refusing;
    /** Tries in a row that the endpoint refused, each after the wait for the one before. */
    private int refusedTries;

    private double refusalShare;
    private int runningAtReport;
    private long kvBytesAtReport;
    private double slotPriceUs = -1;
    private LoadReport report;
    private long kvCapacityBytes;
    private double layerTimeUs = DEFAULT_LAYER_TIME_US;
    private boolean layerTimeKnown;
    private long stageMeasuredAtMs = Long.MIN_VALUE;

    EndpointRow(int index, int zone, EndpointSpec spec) {
        this.index = index;
        this.zone = zone;
        this.spec = spec;
    }

    /** Returns the position of the row in the table; it never changes. */
    public int index() {
        return index;
    }

    /** Returns the number of the data centre, counted from zero in order of appearance. */
    public int zone() {
        return zone;
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
    public boolean isGone() {
        return gone;
    }

    /** Returns whether the endpoint may receive new work: alive, not leaving, reloading or ejected. */
    public boolean isUsable() {
        return !gone && !leaving && !reloading && weight > 0;
    }

    /** Returns whether the endpoint is usable and has a free slot. */
    public boolean hasFreeSlot() {
        return isUsable() && !refusing && occupied() < usableSlots();
    }

    /** Returns the attempts of this router on the endpoint. */
    public int own() {
        return own;
    }

    /** Returns the KV cache memory that the attempts of this router may use, in bytes. */
    public long ownKvBytes() {
        return ownKvBytes;
    }

    /** Returns the estimated attempts of all routers on the endpoint. */
    public int occupied() {
        return own + background;
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
        return layerTimeKnown ? layerTimeUs : 0;
    }

    /** Returns the load that the endpoint last reported, running and queued, without any correction. */
    public int reported() {
        return report == null ? 0 : report.running() + report.queued();
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
        if (report == null) {
            return 0;
        }
        long sinceReport = Math.max(0, ownKvBytes - kvBytesAtReport);
        return Math.min(report.kvFreeBytes() - sinceReport, kvCapacityBytes - ownKvBytes - peersKvBytes);
    }

    /** Keeps the links with the smallest delay, fastest first. */
    void rankNearest(Link link) {
        nearest.removeIf(near -> near == link || near.to.gone);
        int position = nearest.size();
        while (position > 0 && nearest.get(position - 1).delayUs > link.delayUs) {
            position--;
        }
        if (position < NEAREST) {
            nearest.add(position, link);
        }
        if (nearest.size() > NEAREST) {
            nearest.remove(NEAREST);
        }
    }

    /** Sets new fixed properties when an endpoint returns after its death; what it holds is unknown again. */
    void revive(EndpointSpec newSpec) {
        spec = newSpec;
        gone = false;
        layerTimeKnown = false;
        reloading = false;
        report = null;
        background = 0;
        kvCapacityBytes = 0;
    }

    void setHoldings(List<Holding> newHoldings) {
        holdings = newHoldings;
    }

    void changeOwn(int slots, long kvBytes, long nowMs) {
        refusing &= slots > 0 || isRefusingAll();
        refusalShare *= slots > 0 ? 1 - REFUSAL_GAIN : 1;
        own = Math.max(0, own + slots);
        ownKvBytes = Math.max(0, ownKvBytes + kvBytes);
        history.record(nowMs, own, ownKvBytes);
    }

    void setPeers(int running, long kvBytes, long nowMs) {
        peers = running;
        peersKvBytes = kvBytes;
        peersAtMs = nowMs;
        background = running;
    }

    void setReport(LoadReport newReport) {
        report = newReport;
        refusing &= isRefusingAll();
        runningAtReport = history.runningAt(report.measuredAtMs());
        kvBytesAtReport = history.kvBytesAt(report.measuredAtMs());
        kvCapacityBytes = Math.max(kvCapacityBytes, newReport.kvFreeBytes());
        boolean measuredLater = stageMeasuredAtMs > newReport.measuredAtMs() - STAGE_TIME_VALID_MS;
        if (newReport.layerTimeUs() > 0 && !measuredLater) {
            averageLayerTime(newReport.layerTimeUs());
        }
    }

    /** Returns the price of one more slot, in us; recomputed when the table refreshes the row. */
    double slotPriceUs() {
        return slotPriceUs;
    }

    void refreshPrice() {
        double slotShare = (double) occupied() / usableSlots();
        double kvShare = kvCapacityBytes == 0 ? 0 : 1 - (double) kvFreeBytes() / kvCapacityBytes;
        slotPriceUs = CostModel.slotPriceUs(Math.max(slotShare, kvShare)) + refusalShare * REFUSAL_PRICE_US;
    }

    /** Notes that the endpoint refused work: it counts as full until its next load report or own finished attempt. */
    void setRefusing(long nowMs) {
        refusing = true;
        refusalShare += REFUSAL_GAIN;
        if (nowMs >= refusingUntilMs) {
            boolean isContinued = refusedTries > 0 && nowMs - refusingUntilMs < REFUSALS_FORGOTTEN_MS;
            refusedTries = isContinued ? refusedTries + 1 : 1;
            refusingUntilMs = nowMs + (REFUSING_MS << Math.min(refusedTries - 1, MAX_REFUSAL_DOUBLINGS));
        }
    }

    /** An endpoint that leaves refuses new work while what it runs still ends, so that an end says nothing of it. */
    private boolean isRefusingAll() {
        return refusedTries > 1;
    }

    /** Ends the refusal once its time is over and lets earlier ones fade; returns whether that changed anything. */
    boolean endRefusal(long nowMs) {
        boolean ends = refusing && nowMs >= refusingUntilMs;
        refusing &= !ends;
        boolean fades = refusalShare > 0;
        refusalShare = refusalShare < MIN_REFUSAL_SHARE ? 0 : refusalShare * REFUSAL_KEPT;
        return ends || fades;
    }

    void forgetKvCapacity() {
        kvCapacityBytes = 0;
    }

    long reportedAtMs() {
        return report == null ? Long.MIN_VALUE : report.measuredAtMs();
    }

    /**
     * Recomputes the work of others: peers' own counts while they are fresh, otherwise the report minus what this
     * router ran when it was measured.
     */
    void refreshBackground(long nowMs, long peerLoadValidMs) {
        boolean peersFresh = peersAtMs != Long.MIN_VALUE && nowMs - peersAtMs <= peerLoadValidMs;
        peersKvBytes = peersFresh ? peersKvBytes : 0;
        if (peersFresh) {
            background = peers;
        } else if (report != null) {
            background = Math.max(0, reported() - runningAtReport);
        } else {
            background = 0;
        }
    }

    void measureLayerTime(double measuredUs, long nowMs) {
        stageMeasuredAtMs = nowMs;
        averageLayerTime(measuredUs);
    }

    private void averageLayerTime(double measuredUs) {
        layerTimeUs = layerTimeKnown ? layerTimeUs + LAYER_TIME_GAIN * (measuredUs - layerTimeUs) : measuredUs;
        layerTimeKnown = true;
    }

    @Override
    public String toString() {
        return id();
    }
}
