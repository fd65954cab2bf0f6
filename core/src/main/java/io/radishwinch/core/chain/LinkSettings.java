package io.radishwinch.core.chain;

/**
 * What is assumed of links that were not measured.
 *
 * @param localDataCentre data centre of the router, or an empty string if entering a chain costs the same everywhere
 * @param localDelayUs delay of one token within a data centre, in us
 * @param crossDataCentreDelayUs delay of one token between data centres, in us
 * @param remoteEntryUs price of a first stage in another data centre than the router's, in us of token time; only the
 *     request and its answer cross then, not the activations
 * @param infersDelays whether the token interval of finished answers corrects the delay of links
 */
public record LinkSettings(
        String localDataCentre,
        double localDelayUs,
        double crossDataCentreDelayUs,
        double remoteEntryUs,
        boolean infersDelays) {

    /** Returns the defaults; the delays are those of section 1.6 of the design page. */
    public static LinkSettings defaults() {
        return new LinkSettings("", 100, 500, 500, true);
    }
}
