package io.radishwinch.core.chain;

/**
 * Delays and loads of the links between endpoints.
 *
 * <p>A link without a measurement uses the mean of the measured links between the same two data centres.
 */
final class LinkTable {

    /** Maximum number of links for each sending endpoint; bounds the memory for 5,800 endpoints to about 100 MB. */
    static final int MAX_LINKS_PER_ENDPOINT = 256;

    /**
     * Age in ms from which a measurement is averaged with the mean of the data centres. An unused link would otherwise
     * remain slow forever.
     */
    private static final long DECAY_AFTER_MS = 60_000;

    /** Time in ms for which a direct measurement is not corrected by the token intervals of chains. */
    private static final long DIRECT_MEASUREMENT_TTL_MS = 10_000;

    /** Weight of a new measurement in the mean delay between two data centres. */
    private static final double MEAN_DELAY_GAIN = 0.05;

    /** Token rate of one stream before the first response has completed, in tokens/s. */
    private static final double DEFAULT_STREAM_TOKENS_PER_S = 25;

    /** Weight of a completed response in the mean token rate of a stream. */
    private static final double STREAM_RATE_GAIN = 0.02;

    /** Load relative to the capacity of a link from which it counts as saturated. */
    private static final double SATURATION_LOAD = 0.95;

    /**
     * Factor on the delay of a saturated link. It is large enough to prefer every other link, and finite so that layers
     * reachable only over this link remain covered.
     */
    private static final double SATURATION_DELAY_FACTOR = 1_000;

    private final LinkSettings settings;
    private double crossDataCentreDelayUs;
    private double[][] meanDelaysUs = new double[0][0];
    private double streamTokensPerS = DEFAULT_STREAM_TOKENS_PER_S;

    LinkTable(LinkSettings settings) {
        this.settings = settings;
        this.crossDataCentreDelayUs = settings.crossDataCentreDelayUs();
    }

    /**
     * Sets the time for which the activations of a prompt of mean size occupy the path between two data centres, in us.
     */
    void setCrossDataCentreTransferUs(double transferUs) {
        crossDataCentreDelayUs = Math.max(settings.crossDataCentreDelayUs(), transferUs);
    }

    /** Returns the price of a first stage on the endpoint in us; 0 in the router's data centre. */
    double entryUs(EndpointRow to) {
        return settings.localDataCentre().isEmpty() || to.spec().dataCentre().equals(settings.localDataCentre())
                ? 0
                : settings.remoteEntryUs();
    }

    boolean infersDelays() {
        return settings.infersDelays();
    }

    /**
     * Records a measurement. A new link is not stored if the sending endpoint has the maximum number of links, but
     * still counts for the mean of the data centres.
     */
    void recordMeasurement(EndpointRow from, EndpointRow to, double delayUs, double tokensPerS, long nowMs) {
        ensureDataCentres(Math.max(from.dataCentreIndex(), to.dataCentreIndex()) + 1);
        double meanUs = meanDelaysUs[from.dataCentreIndex()][to.dataCentreIndex()];
        meanDelaysUs[from.dataCentreIndex()][to.dataCentreIndex()] =
                meanUs == 0 ? delayUs : meanUs + MEAN_DELAY_GAIN * (delayUs - meanUs);
        Link link = from.outgoingLinks.get(to.index());
        if (link != null) {
            link.recordMeasurement(delayUs, tokensPerS, nowMs);
        } else if (canAddLink(from)) {
            link = new Link(to, delayUs, tokensPerS, nowMs);
            from.outgoingLinks.put(to.index(), link);
        }
        if (link != null) {
            from.updateNearestLinks(link);
        }
    }

    void recordTokenInterval(double tokenIntervalMs) {
        if (tokenIntervalMs > 0) {
            streamTokensPerS += STREAM_RATE_GAIN * (1_000 / tokenIntervalMs - streamTokensPerS);
        }
    }

    double streamTokensPerS() {
        return streamTokensPerS;
    }

    /** Returns whether the link has a direct measurement of the last ten seconds. */
    boolean hasDirectMeasurement(EndpointRow from, EndpointRow to, long nowMs) {
        Link link = from.outgoingLinks.get(to.index());
        return link != null && !link.isInferred && nowMs - link.measuredAtMs <= DIRECT_MEASUREMENT_TTL_MS;
    }

    /** Corrects the delay of a link that has no recent direct measurement. */
    void correctDelay(EndpointRow from, EndpointRow to, double correctionUs, long nowMs) {
        Link link = from.outgoingLinks.get(to.index());
        if (link == null && canAddLink(from)) {
            link = new Link(to, meanDelayUs(from, to), 0, nowMs);
            from.outgoingLinks.put(to.index(), link);
        }
        if (link != null) {
            double delayUs = unloadedDelayUs(from, to, nowMs);
            link.delayUs = delayUs;
            link.recordMeasurement(Math.max(0, delayUs + correctionUs), link.capacityTokensPerS, nowMs);
            link.isInferred = true;
            from.updateNearestLinks(link);
        }
    }

    /** Returns the expected one-way delay of one token in us, including queueing on a link near its capacity. */
    double delayUs(EndpointRow from, EndpointRow to, long nowMs) {
        Link link = from.outgoingLinks.get(to.index());
        double delayUs = delayUs(link, from, to, nowMs);
        if (link == null || link.capacityTokensPerS <= 0) {
            return delayUs;
        }
        double load = (link.localStreams + 1) * streamTokensPerS / link.capacityTokensPerS;
        return load >= SATURATION_LOAD ? delayUs * SATURATION_DELAY_FACTOR : delayUs / (1 - load);
    }

    private static boolean canAddLink(EndpointRow from) {
        if (from.outgoingLinks.size() == MAX_LINKS_PER_ENDPOINT) {
            from.outgoingLinks.removeLinksToRemovedEndpoints();
        }
        return from.outgoingLinks.size() < MAX_LINKS_PER_ENDPOINT;
    }

    /** Returns the expected one-way delay of one token in us, without queueing. */
    double unloadedDelayUs(EndpointRow from, EndpointRow to, long nowMs) {
        return delayUs(from.outgoingLinks.get(to.index()), from, to, nowMs);
    }

    private double delayUs(Link link, EndpointRow from, EndpointRow to, long nowMs) {
        if (link == null) {
            return meanDelayUs(from, to);
        }
        long ageMs = nowMs - link.measuredAtMs;
        if (ageMs <= DECAY_AFTER_MS) {
            return link.delayUs;
        }
        double confidence = (double) DECAY_AFTER_MS / ageMs;
        return confidence * link.delayUs + (1 - confidence) * meanDelayUs(from, to);
    }

    private double meanDelayUs(EndpointRow from, EndpointRow to) {
        int maxIndex = Math.max(from.dataCentreIndex(), to.dataCentreIndex());
        double measuredUs =
                maxIndex < meanDelaysUs.length ? meanDelaysUs[from.dataCentreIndex()][to.dataCentreIndex()] : 0;
        if (measuredUs > 0) {
            return measuredUs;
        }
        return from.dataCentreIndex() == to.dataCentreIndex() ? settings.localDelayUs() : crossDataCentreDelayUs;
    }

    private void ensureDataCentres(int count) {
        if (count > meanDelaysUs.length) {
            double[][] newMeans = new double[count][count];
            for (int i = 0; i < meanDelaysUs.length; i++) {
                System.arraycopy(meanDelaysUs[i], 0, newMeans[i], 0, meanDelaysUs.length);
            }
            meanDelaysUs = newMeans;
        }
    }
}
