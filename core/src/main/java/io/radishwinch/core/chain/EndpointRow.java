package io.radishwinch.core.chain;

import io.radishwinch.core.limit.TokenBucket;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LoadReport;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;

/**
 * One row of the endpoint table.
 *
 * <p>Only {@link EndpointTable} changes a row. The row of a removed endpoint is retained for a while, so that its
 * leaving mark and its count of running attempts are not lost when a delayed load report arrives.
 */
public final class EndpointRow {

    /** Weight of a new measurement in the moving average of the layer time. */
    private static final double LAYER_TIME_GAIN = 0.3;

    /**
     * Time in ms for which a layer time measured by this router overrides load reports. An engine may not detect its
     * own slowness.
     */
    private static final long STAGE_MEASUREMENT_TTL_MS = 10_000;

    /** Layer time used before the first measurement, in us. */
    private static final double DEFAULT_LAYER_TIME_US = 500;

    /** First backoff after a refusal, in ms; the typical delay of a load report. */
    private static final long REFUSAL_BACKOFF_MS = 300;

    /**
     * Maximum number of backoff doublings. The longest backoff is 1,200 ms, because most requests wait about one
     * second.
     */
    private static final int MAX_REFUSAL_BACKOFF_DOUBLINGS = 2;

    /**
     * Time in ms after the end of a backoff after which the next refusal starts at the first backoff again. Allows for
     * several attempts at full load.
     */
    private static final long REFUSAL_RESET_MS = 2_000;

    /** Weight of one attempt in the moving average of the refused share, which covers about ten attempts. */
    private static final double REFUSAL_GAIN = 0.1;

    /**
     * Factor that each tick applies to the refused share, so that an endpoint without work is retried within seconds.
     */
    private static final double REFUSAL_DECAY_PER_TICK = 0.98;

    /** Refused share below which it is reset to zero. */
    private static final double MIN_REFUSAL_SHARE = 0.02;

    /** Price in us of an endpoint that refuses every attempt; equals the price of five full endpoints. */
    private static final double FULL_REFUSAL_PRICE_US = 5 * CostModel.FULL_SLOT_PRICE_US;

    /** Time in ms whose unused requests may be sent at once to an endpoint that limits its requests. */
    private static final long REQUEST_BURST_MS = 400;

    /**
     * First rate at which this router sends requests to an endpoint after a pause, in requests/s. The rate is limited
     * so that not all that waited is sent at once.
     */
    private static final double FIRST_RESUME_REQUESTS_PER_S = 4;

    /** Time in ms after which the rate after a pause doubles. */
    private static final long RESUME_STEP_MS = 250;

    /** Rate in requests/s from which on the rate after a pause is not limited any more. */
    private static final double UNLIMITED_RESUME_REQUESTS_PER_S = 200;

    /** Maximum number of low-delay links that the planner considers in addition to the cheapest candidates. */
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
    boolean isRemoved;
    boolean isLeaving;
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
    /** Refusals since the last reset, counting only those after the end of the previous backoff. */
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
    /** Requests for which this router may use the endpoint as the first stage; null without a limit. */
    private TokenBucket requestAllowance;

    private long pausedUntilMs = Long.MIN_VALUE;
    private boolean isPaused;

    /** Requests that may be sent after a pause; null if the last pause is long over. */
    private TokenBucket resumeAllowance;

    private long nextResumeStepMs;

    EndpointRow(int index, int dataCentreIndex, EndpointSpec spec) {
        this.index = index;
        this.dataCentreIndex = dataCentreIndex;
        this.spec = spec;
    }

    /** Returns the position of the row in the table; it never changes. */
    public int index() {
        return index;
    }

    /** Returns the index of the data centre, assigned from zero in the order in which data centres are first seen. */
    public int dataCentreIndex() {
        return dataCentreIndex;
    }

    /** Returns the identifier of the endpoint. */
    public String id() {
        return spec.id();
    }

    /** Returns the fixed properties of the endpoint. */
    public EndpointSpec spec() {
        return spec;
    }

    /** Returns the layers held according to the latest load report. */
    public List<Holding> holdings() {
        return holdings;
    }

    /** Returns whether the endpoint is leaving. */
    public boolean isLeaving() {
        return isLeaving;
    }

    /** Returns whether the endpoint failed or was removed from the list. */
    public boolean isRemoved() {
        return isRemoved;
    }

    /** Returns whether the endpoint may receive new work: it is listed and is not leaving, reloading or ejected. */
    public boolean isUsable() {
        return !isRemoved && !isLeaving && !isReloading && weight > 0;
    }

    /** Returns whether the endpoint is usable and has a free slot. */
    public boolean hasFreeSlot() {
        return isUsable() && !isRefusing && !isPaused && occupiedSlots() < usableSlots();
    }

    /** Returns whether the request limit of the endpoint, and its last pause, allow this router another request now. */
    public boolean canEnter(long nowMs) {
        return allows(requestAllowance, nowMs) && allows(resumeAllowance, nowMs);
    }

    private static boolean allows(TokenBucket allowance, long nowMs) {
        return allowance == null || allowance.waitMs(1, nowMs) == 0;
    }

    /** Returns whether a pause that the endpoint asked for covers the given time. */
    boolean isPaused(long atMs) {
        return isPaused && atMs < pausedUntilMs;
    }

    /** Returns the end of the last pause, in ms of the router's clock. */
    long pausedUntilMs() {
        return pausedUntilMs;
    }

    /** Returns whether the request limit of the endpoint leaves this router no requests at all. */
    public boolean isEntryClosed() {
        return requestAllowance != null && requestAllowance.ratePerS() <= 0;
    }

    /** Returns the number of attempts that this router runs on the endpoint. */
    public int localAttempts() {
        return localAttempts;
    }

    /** Returns the KV cache memory reserved for the attempts of this router, in bytes. */
    public long localKvBytes() {
        return localKvBytes;
    }

    /** Returns the estimated number of attempts that all routers run on the endpoint. */
    public int occupiedSlots() {
        return localAttempts + otherRouterAttempts;
    }

    /** Returns the number of slots that may be used, at least one. Slow start and readmission reduce it. */
    public int usableSlots() {
        return Math.max(1, (int) (spec.slots() * weight));
    }

    /** Returns the time of one layer for one token, in us. */
    public double layerTimeUs() {
        return layerTimeUs;
    }

    /** Returns the measured time of one layer for one token in us, or 0 without a measurement. */
    double measuredLayerTimeUs() {
        return hasLayerTime ? layerTimeUs : 0;
    }

    /** Returns the running and queued attempts of the latest load report, without any correction. */
    public int reportedAttempts() {
        return loadReport == null ? 0 : loadReport.running() + loadReport.queued();
    }

    /** Returns the largest free KV cache memory that the endpoint has reported for its current layers, in bytes. */
    public long kvCapacityBytes() {
        return kvCapacityBytes;
    }

    /**
     * Returns the estimated free KV cache memory, in bytes.
     *
     * <p>An attempt fills its reservation over time. The estimate is therefore the smaller of two values: the reported
     * free memory less the reservations added since the report, and the capacity less the reservations of all routers.
     */
    public long kvFreeBytes() {
        if (loadReport == null) {
            return 0;
        }
        long addedBytes = Math.max(0, localKvBytes - localKvBytesAtReport);
        return Math.min(loadReport.kvFreeBytes() - addedBytes, kvCapacityBytes - localKvBytes - peerKvBytes);
    }

    /** Updates the list of the links with the smallest delay, which is sorted by delay. */
    void updateNearestLinks(Link link) {
        nearestLinks.removeIf(near -> near == link || near.to.isRemoved);
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

    /**
     * Sets new fixed properties when a removed endpoint joins again, and discards what was known of its load and layer
     * time.
     */
    void rejoin(EndpointSpec newSpec) {
        spec = newSpec;
        isRemoved = false;
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

    void setRequestShare(double requestsPerS, long nowMs) {
        if (requestsPerS == Double.POSITIVE_INFINITY) {
            requestAllowance = null;
        } else if (requestAllowance == null) {
            requestAllowance = new TokenBucket(requestsPerS, REQUEST_BURST_MS, nowMs);
        } else {
            requestAllowance.setRate(requestsPerS, REQUEST_BURST_MS, nowMs);
        }
    }

    /** Counts a request that is sent to the endpoint as the first stage. */
    void recordEntry() {
        if (requestAllowance != null) {
            requestAllowance.take(1);
        }
        if (resumeAllowance != null) {
            resumeAllowance.take(1);
        }
    }

    /** Starts a pause, or prolongs the running one. */
    void pause(long untilMs) {
        isPaused = true;
        pausedUntilMs = Math.max(pausedUntilMs, untilMs);
        resumeAllowance = null;
    }

    /** Ends an expired pause, and the limited rate after it; returns whether a pause ended. */
    private boolean endPause(long nowMs) {
        boolean isOver = isPaused && nowMs >= pausedUntilMs;
        if (isOver) {
            isPaused = false;
            resumeAllowance = new TokenBucket(FIRST_RESUME_REQUESTS_PER_S, RESUME_STEP_MS, nowMs);
            nextResumeStepMs = nowMs + RESUME_STEP_MS;
        } else if (resumeAllowance != null && nowMs >= nextResumeStepMs) {
            nextResumeStepMs = nowMs + RESUME_STEP_MS;
            double requestsPerS = 2 * resumeAllowance.ratePerS();
            if (requestsPerS < UNLIMITED_RESUME_REQUESTS_PER_S) {
                resumeAllowance.setRate(requestsPerS, RESUME_STEP_MS, nowMs);
            } else {
                resumeAllowance = null;
            }
        }
        return isOver;
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
        boolean hasRecentMeasurement = stageMeasuredAtMs > newReport.measuredAtMs() - STAGE_MEASUREMENT_TTL_MS;
        if (newReport.layerTimeUs() > 0 && !hasRecentMeasurement) {
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

    /**
     * Records a refusal. The endpoint counts as full until its backoff ends, its next load report arrives or an attempt
     * of this router on it ends.
     */
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

    /**
     * Returns whether refusals continued after a backoff. A load report or the end of an attempt then does not end the
     * backoff, because a leaving endpoint refuses new work while its running attempts still end.
     */
    private boolean hasRepeatedRefusals() {
        return consecutiveRefusals > 1;
    }

    /** Ends an expired backoff or pause and decays the refused share; returns whether the row changed. */
    boolean decayRefusals(long nowMs) {
        boolean isPauseOver = endPause(nowMs);
        boolean isBackoffExpired = isRefusing && nowMs >= refusalBackoffEndMs;
        isRefusing &= !isBackoffExpired;
        boolean hasRefusalShare = refusalShare > 0;
        refusalShare = refusalShare < MIN_REFUSAL_SHARE ? 0 : refusalShare * REFUSAL_DECAY_PER_TICK;
        return isBackoffExpired || isPauseOver || hasRefusalShare;
    }

    void resetKvCapacity() {
        kvCapacityBytes = 0;
    }

    long reportedAtMs() {
        return loadReport == null ? Long.MIN_VALUE : loadReport.measuredAtMs();
    }

    /**
     * Recomputes the attempts of other routers. Counts sent by peers are used until they become stale; afterwards the
     * load report is used, less the attempts of this router at the time of its measurement.
     */
    void refreshOtherRouterAttempts(long nowMs, long peerLoadTtlMs) {
        boolean hasFreshPeerLoad = peerLoadAtMs != Long.MIN_VALUE && nowMs - peerLoadAtMs <= peerLoadTtlMs;
        peerKvBytes = hasFreshPeerLoad ? peerKvBytes : 0;
        if (hasFreshPeerLoad) {
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
