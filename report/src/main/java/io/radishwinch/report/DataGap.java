package io.radishwinch.report;

/**
 * A period for which a day summary has no data.
 *
 * @param routerId router whose data is missing, or an empty string if no router recorded data
 * @param fromMs start, in ms since the epoch
 * @param toMs end, in ms since the epoch
 */
record DataGap(String routerId, long fromMs, long toMs) {}
