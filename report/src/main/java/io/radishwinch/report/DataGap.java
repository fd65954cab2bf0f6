package io.radishwinch.report;

/**
 * Time for which data is missing.
 *
 * @param routerId router whose data is missing, or an empty string if no router recorded
 * @param fromMs start, in ms since the epoch
 * @param toMs end, in ms since the epoch
 */
record DataGap(String routerId, long fromMs, long toMs) {}
