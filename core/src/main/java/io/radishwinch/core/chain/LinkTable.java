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
    private static final long FADE_AFTER_MS = 60_000;

    /** Time for which a direct measurement is not corrected by what the chains show, in ms. */
    private static final long DIRECT_VALID_MS = 10_000;

    /** Weight of a new measurement in the mean between two data centres. */
    private static final double MEAN_GAIN = 0.05;

    /** Token rate of one stream before the first answer has finished, in tokens/s. */
    private static final double DEFAULT_STREAM_TOKENS_PER_S = 25;

    /** Weight of a finished answer in the mean token rate of a stream. */
    private static final double STREAM_RATE_GAIN = 0.02;

    /** Share of a link's capacity above which it counts as full. */
    private static final double FULL_SHARE = 0.95;

    /** Factor on the delay of a full link: high enough to prefer every other link, finite to keep coverage. */
    private static final double FULL_FACTOR = 1_000;

    private final LinkSettings settings;
    private double remoteDelayUs;
    private double[][] meansUs = new double[0][0];
    private double streamTokensPerS = DEFAULT_STREAM_TOKENS_PER_S;

    LinkTable(LinkSettings settings) {
        this.settings = settings;
        this.remoteDelayUs = settings.remoteDelayUs();
    }

    /** Sets the time that the activations of a usual prompt occupy the path between two data centres, in us. */
    void setCrossing(double crossingUs) {
        remoteDelayUs = Math.max(settings.remoteDelayUs(), crossingUs);
    }

    /** Returns the price of a first stage in another data centre than that of the router, in us. */
    double entryUs(EndpointRow to) {
        return settings.homeDataCentre().isEmpty() || to.spec().dataCentre().equals(settings.homeDataCentre())
                ? 0
                : settings.entryUs();
    }

    boolean infersDelays() {
        return settings.infersDelays();
    }

    /** Records a measurement; the link is ignored if the sender has too many links. */
    void measure(EndpointRow from, EndpointRow to, double delayUs, double tokensPerS, long nowMs) {
        growTo(Math.max(from.zone(), to.zone()) + 1);
        double meanUs = meansUs[from.zone()][to.zone()];
        meansUs[from.zone()][to.zone()] = meanUs == 0 ? delayUs : meanUs + MEAN_GAIN * (delayUs - meanUs);
        Link link = from.outgoing.get(to.index());
        if (link != null) {
            link.measure(delayUs, tokensPerS, nowMs);
        } else if (hasRoom(from)) {
            link = new Link(to, delayUs, tokensPerS, nowMs);
            from.outgoing.put(to.index(), link);
        }
        if (link != null) {
            from.rankNearest(link);
        }
    }

    void measureStream(double tokenIntervalMs) {
        if (tokenIntervalMs > 0) {
            streamTokensPerS += STREAM_RATE_GAIN * (1_000 / tokenIntervalMs - streamTokensPerS);
        }
    }

    double streamTokensPerS() {
        return streamTokensPerS;
    }

    /** Returns whether the link was measured directly within the last ten seconds. */
    boolean isMeasured(EndpointRow from, EndpointRow to, long nowMs) {
        Link link = from.outgoing.get(to.index());
        return link != null && !link.inferred && nowMs - link.measuredAtMs <= DIRECT_VALID_MS;
    }

    /** Corrects the delay of a link that has no recent measurement of its own. */
    void infer(EndpointRow from, EndpointRow to, double correctionUs, long nowMs) {
        Link link = from.outgoing.get(to.index());
        if (link == null && hasRoom(from)) {
            link = new Link(to, meanUs(from, to), 0, nowMs);
            from.outgoing.put(to.index(), link);
        }
        if (link != null) {
            double delayUs = plainDelayUs(from, to, nowMs);
            link.delayUs = delayUs;
            link.measure(Math.max(0, delayUs + correctionUs), link.tokensPerS, nowMs);
            link.inferred = true;
            from.rankNearest(link);
        }
    }

    /** Returns the expected one-way delay of one token, in us, with queueing on a link near its capacity. */
    double delayUs(EndpointRow from, EndpointRow to, long nowMs) {
        Link link = from.outgoing.get(to.index());
        double delayUs = delayUs(link, from, to, nowMs);
        if (link == null || link.tokensPerS <= 0) {
            return delayUs;
        }
        double load = (link.streams + 1) * streamTokensPerS / link.tokensPerS;
        return load >= FULL_SHARE ? delayUs * FULL_FACTOR : delayUs / (1 - load);
    }

    private static boolean hasRoom(EndpointRow from) {
        if (from.outgoing.size() == MAX_LINKS_PER_ENDPOINT) {
            from.outgoing.removeGone();
        }
        return from.outgoing.size() < MAX_LINKS_PER_ENDPOINT;
    }

    /** Returns the one-way delay of one token without queueing, in us. */
    double plainDelayUs(EndpointRow from, EndpointRow to, long nowMs) {
        return delayUs(from.outgoing.get(to.index()), from, to, nowMs);
    }

    private double delayUs(Link link, EndpointRow from, EndpointRow to, long nowMs) {
        if (link == null) {
            return meanUs(from, to);
        }
        long ageMs = nowMs - link.measuredAtMs;
        if (ageMs <= FADE_AFTER_MS) {
            return link.delayUs;
        }
        double trust = (double) FADE_AFTER_MS / ageMs;
        return trust * link.delayUs + (1 - trust) * meanUs(from, to);
    }

    private double meanUs(EndpointRow from, EndpointRow to) {
        int highest = Math.max(from.zone(), to.zone());
        double measuredUs = highest < meansUs.length ? meansUs[from.zone()][to.zone()] : 0;
        if (measuredUs > 0) {
            return measuredUs;
        }
        return from.zone() == to.zone() ? settings.localDelayUs() : remoteDelayUs;
    }

    private void growTo(int zones) {
        if (zones > meansUs.length) {
            double[][] grown = new double[zones][zones];
            for (int zone = 0; zone < meansUs.length; zone++) {
                System.arraycopy(meansUs[zone], 0, grown[zone], 0, meansUs.length);
            }
            meansUs = grown;
        }
    }
}
