package io.radishwinch.core.chain;

/**
 * Defaults for links that were not measured.
 *
 * @param localDataCentre data centre of the router, or an empty string if first stages have the same price in every
 *     data centre
 * @param localDelayUs delay of one token within a data centre, in us
 * @param crossDataCentreDelayUs delay of one token between data centres, in us
 * @param remoteEntryUs price of a first stage outside the router's data centre, in us of token time; only the request
 *     and the response are then sent across data centres, not the activations
 * @param infersDelays whether link delays are corrected by the token intervals of completed responses
 */
public record LinkSettings(
        String localDataCentre,
        double localDelayUs,
        double crossDataCentreDelayUs,
        double remoteEntryUs,
        boolean infersDelays) {

    /** Returns the defaults; the delays are specified in section 1.6 of the design page. */
    public static LinkSettings defaults() {
        return new LinkSettings("", 100, 500, 500, true);
    }
}
