package io.radishwinch.server.engine;

import java.util.concurrent.atomic.LongAdder;

/** Counts lines and tokens that engine streams reject or discard. */
public final class StreamCounters {
    final LongAdder malformedLines = new LongAdder();
    final LongAdder mismatchedLines = new LongAdder();
    final LongAdder duplicateTokens = new LongAdder();

    /** Returns the number of streams that ended because of a malformed, oversized or out-of-sequence line. */
    public long malformedLines() {
        return malformedLines.sum();
    }

    /** Returns the number of lines that were discarded because they belong to another request or epoch. */
    public long mismatchedLines() {
        return mismatchedLines.sum();
    }

    /** Returns the number of tokens that were discarded because they had been delivered before. */
    public long duplicateTokens() {
        return duplicateTokens.sum();
    }
}
