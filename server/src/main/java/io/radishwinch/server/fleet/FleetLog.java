package io.radishwinch.server.fleet;

import io.radishwinch.server.LogFields;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Writes a router's decisions and state changes as structured log lines.
 *
 * <p>Token buckets limit the lines on requests, and those on incomplete responses, so that the many of one kind do not
 * hide the other; suppressed lines are counted and the count is logged. Changes of the router's known state are rare
 * and always logged.
 */
final class FleetLog {
    private static final System.Logger LOG = System.getLogger("radishwinch");

    /** Limit on the lines of one kind, in lines/s; a busy router logs about ten for each request. */
    private static final double MAX_LINES_PER_S = 300;

    private static final double MAX_LINE_BURST = 600;
    private static final double MS_PER_S = 1_000;

    private final LongSupplier clockMs;
    private final LineLimit requestLimit = new LineLimit("request-lines-suppressed");
    private final LineLimit cutLimit = new LineLimit("cut-lines-suppressed");

    FleetLog(LongSupplier clockMs) {
        this.clockMs = clockMs;
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
    void request(Supplier<LogFields> fields) {
        requestLimit.write(fields);
    }

    /** Logs a response that is incomplete, within a limit of its own; safe for use by any thread. */
    void incompleteResponse(Supplier<LogFields> fields) {
        cutLimit.write(fields);
    }

    private void write(LogFields fields) {
        LOG.log(System.Logger.Level.INFO, "{0}", fields.with("atMs", clockMs.getAsLong()));
    }

    /** Token bucket of the lines of one kind. */
    private final class LineLimit {
        private final String suppressedEvent;
        private double tokens = MAX_LINE_BURST;
        private long refilledAtMs = Long.MIN_VALUE;
        private long suppressedLines;

        LineLimit(String suppressedEvent) {
            this.suppressedEvent = suppressedEvent;
        }

        synchronized void write(Supplier<LogFields> fields) {
            long nowMs = clockMs.getAsLong();
            if (refilledAtMs != Long.MIN_VALUE) {
                tokens = Math.min(MAX_LINE_BURST, tokens + (nowMs - refilledAtMs) * MAX_LINES_PER_S / MS_PER_S);
            }
            refilledAtMs = nowMs;
            if (tokens < 1) {
                suppressedLines++;
                return;
            }
            tokens--;
            if (suppressedLines > 0) {
                FleetLog.this.write(LogFields.of(suppressedEvent).with("lines", suppressedLines));
                suppressedLines = 0;
            }
            FleetLog.this.write(fields.get());
        }
    }
}
