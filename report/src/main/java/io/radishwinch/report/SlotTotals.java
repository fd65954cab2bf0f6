package io.radishwinch.report;

/**
 * Sums the service of all callers in one rank and slot.
 *
 * @param offered number of requests received
 * @param entitled number of requests received, except those refused or failed for a reason attributed to the caller
 * @param admitted number of requests that ran or may have run
 * @param withinDeadline number of complete responses by the deadline
 * @param retries number of attempts after the first
 * @param tokens number of prompt and generated tokens
 */
public record SlotTotals(long offered, long entitled, long admitted, long withinDeadline, long retries, long tokens) {
    static final SlotTotals ZERO = new SlotTotals(0, 0, 0, 0, 0, 0);

    SlotTotals plus(SlotTotals other) {
        return new SlotTotals(
                offered + other.offered,
                entitled + other.entitled,
                admitted + other.admitted,
                withinDeadline + other.withinDeadline,
                retries + other.retries,
                tokens + other.tokens);
    }
}
