package io.radishwinch.core.chain;

/**
 * Links between endpoints.
 *
 * <p>Pairs that were never measured take the mean of the measured links between the same two data centres.
 */
final class LinkTable {

    /** Links kept for each sending endpoint, which bounds the memory at 5,800 endpoints to about 100 MB. */
    static final int MAX_LINKS_PER_ENDPOINT = 256;

    /** A measurement older than this no longer decides alone: a link that nobody uses would stay slow forever. */
    private static final long DECAY_AFTER_MS = 60_000;

    /** Time for which a direct measurement is not corrected by what the chains show, in ms. */
    private static final long DIRECT_MEASUREMENT_TTL_MS = 10_000;

    /** Weight of a new measurement in the mean between two data centres. */
    private static final double MEAN_DELAY_GAIN = 0.05;

    /** Token rate of one stream before the first answer has finished, in tokens/s. */
    private static final double DEFAULT_STREAM_TOKENS_PER_S = 25;

    /** Weight of a finished answer in the mean token rate of a stream. */
    private static final double STREAM_RATE_GAIN = 0.02;

    /** Share of a link's capacity above which it counts as full. */
    private static final double SATURATION_LOAD = 0.95;

    /** Factor on the delay of a full link: high enough to prefer every other link, finite to keep coverage. */
    private static final double SATURATION_DELAY_FACTOR = 1_000;

    private final LinkSettings settings;
    private double crossDataCentreDelayUs;
    private double[][] meanDelaysUs = new double[0][0];
    private double streamTokensPerS = DEFAULT_STREAM_TOKENS_PER_S;

    LinkTable(LinkSettings settings) {
        this.settings = settings;
        this.crossDataCentreDelayUs = settings.crossDataCentreDelayUs();
    }

    /** Sets the time that the activations of a usual prompt occupy the path between two data centres, in us. */
    void setCrossDataCentreTransferUs(double crossingUs) {
        crossDataCentreDelayUs = Math.max(settings.crossDataCentreDelayUs(), crossingUs);
    }

    /** Returns the price of a first stage in another data centre than that of the router, in us. */
    double entryUs(EndpointRow to) {
        return settings.localDataCentre().isEmpty() || to.spec().dataCentre().equals(settings.localDataCentre())
                ? 0
                : settings.remoteEntryUs();
    }

    boolean infersDelays() {
        return settings.infersDelays();
    }

    /** Records a measurement; the link is ignored if the sender has too many links. */
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

    /** Returns whether the link was measured directly within the last ten seconds. */
    boolean hasDirectMeasurement(EndpointRow from, EndpointRow to, long nowMs) {
        Link link = from.outgoingLinks.get(to.index());
        return link != null && !link.isInferred && nowMs - link.measuredAtMs <= DIRECT_MEASUREMENT_TTL_MS;
    }

    /** Corrects the delay of a link that has no recent measurement of its own. */
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

    /** Returns the expected one-way delay of one token, in us, with queueing on a link near its capacity. */
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

    /** Returns the one-way delay of one token without queueing, in us. */
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
        double trust = (double) DECAY_AFTER_MS / ageMs;
        return trust * link.delayUs + (1 - trust) * meanDelayUs(from, to);
    }

    private double meanDelayUs(EndpointRow from, EndpointRow to) {
        int highest = Math.max(from.dataCentreIndex(), to.dataCentreIndex());
        double measuredUs =
                highest < meanDelaysUs.length ? meanDelaysUs[from.dataCentreIndex()][to.dataCentreIndex()] : 0;
        if (measuredUs > 0) {
            return measuredUs;
        }
        return from.dataCentreIndex() == to.dataCentreIndex() ? settings.localDelayUs() : crossDataCentreDelayUs;
    }

    private void ensureDataCentres(int zones) {
        if (zones > meanDelaysUs.length) {
            double[][] grown = new double[zones][zones];
            for (int zone = 0; zone < meanDelaysUs.length; zone++) {
                System.arraycopy(meanDelaysUs[zone], 0, grown[zone], 0, meanDelaysUs.length);
            }
            meanDelaysUs = grown;
        }
    }
}
