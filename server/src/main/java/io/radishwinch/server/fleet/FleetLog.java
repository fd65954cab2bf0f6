package io.radishwinch.server.fleet;

import io.radishwinch.server.LogFields;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Writes a router's decisions and state changes as structured log lines.
 *
 * <p>A token bucket limits the lines on requests; suppressed lines are counted and the count is logged. Changes of the
 * router's known state are rare and always logged.
 */
final class FleetLog {
    private static final System.Logger LOG = System.getLogger("radishwinch");

    /** Limit on request lines, in lines/s; a busy router logs about ten for each request. */
    private static final double MAX_REQUEST_LINES_PER_S = 300;

    private static final double MAX_REQUEST_LINE_BURST = 600;
    private static final double MS_PER_S = 1_000;

    private final LongSupplier clockMs;
    private double tokens = MAX_REQUEST_LINE_BURST;
    private long refilledAtMs;
    private long suppressedLines;

    FleetLog(LongSupplier clockMs) {
        this.clockMs = clockMs;
        this.refilledAtMs = clockMs.getAsLong();
    }

    /** Logs a change of the known state of an endpoint, a lease, the configuration or the platform. */
    void stateChanged(String event, String subject, String detail) {
        write(LogFields.of(event).with("subject", subject).with("detail", detail));
    }

    /** Logs a start, stop or reload of the router. */
    void lifecycle(LogFields fields) {
        write(fields);
    }

    /** Logs a decision on a request unless the rate limit is exceeded; safe for use by any thread. */
    synchronized void request(Supplier<LogFields> fields) {
        long nowMs = clockMs.getAsLong();
        tokens = Math.min(MAX_REQUEST_LINE_BURST, tokens + (nowMs - refilledAtMs) * MAX_REQUEST_LINES_PER_S / MS_PER_S);
        refilledAtMs = nowMs;
        if (tokens < 1) {
            suppressedLines++;
            return;
        }
        tokens--;
        if (suppressedLines > 0) {
            write(LogFields.of("request-lines-suppressed").with("lines", suppressedLines));
            suppressedLines = 0;
        }
        write(fields.get());
    }

    private void write(LogFields fields) {
        LOG.log(System.Logger.Level.INFO, "{0}", fields.with("atMs", clockMs.getAsLong()));
    }
}
