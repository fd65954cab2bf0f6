package io.radishwinch.report;

/**
 * Service of all callers in one rank and slot.
 *
 * @param offered requests received
 * @param entitled of these, requests not refused or lost by the caller's doing
 * @param admitted requests that ran or may have run
 * @param withinDeadline whole answers by the deadline
 * @param retries attempts after the first
 * @param tokens tokens of prompts and answers
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
