package io.radishwinch.server;

import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Writes structured log lines with the time of the router's monotonic clock. */
public final class StructuredLog {
    private static final System.Logger LOG = System.getLogger("radishwinch");

    /** Limit on the lines of one kind, in lines/s; a busy router logs about ten for each request. */
    private static final double MAX_LINES_PER_S = 300;

    private static final double MAX_LINE_BURST = 600;
    private static final double MS_PER_S = 1_000;

    private final LongSupplier clockMs;

    /** Creates a log with a monotonic clock, in ms. */
    public StructuredLog(LongSupplier clockMs) {
        this.clockMs = clockMs;
    }

    /** Writes a line, and throws nothing if that fails; safe for use by any thread. */
    public void write(LogFields fields) {
        compose(() -> fields);
    }

    private void compose(Supplier<LogFields> fields) {
        try {
            LOG.log(System.Logger.Level.INFO, "{0}", fields.get().with("atMs", clockMs.getAsLong()));
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "a line of the log cannot be written", e);
        }
    }

    /**
     * Returns a limit for the lines of one kind.
     *
     * @param suppressedEvent event of the line that counts the suppressed lines
     */
    public LineLimit limit(String suppressedEvent) {
        return new LineLimit(suppressedEvent);
    }

    /** Token bucket of the lines of one kind; suppressed lines are counted and the count is logged. */
    public final class LineLimit {
        private final String suppressedEvent;
        private double tokens = MAX_LINE_BURST;
        private long refilledAtMs = Long.MIN_VALUE;
        private long suppressedLines;

        private LineLimit(String suppressedEvent) {
            this.suppressedEvent = suppressedEvent;
        }

        /** Writes a line unless the limit is exceeded; safe for use by any thread. */
        public synchronized void write(Supplier<LogFields> fields) {
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
                StructuredLog.this.write(LogFields.of(suppressedEvent).with("lines", suppressedLines));
                suppressedLines = 0;
            }
            compose(fields);
        }
    }
}
