package io.radishwinch.server.engine;

import java.util.concurrent.atomic.LongAdder;

/** Counters of what engine streams discard or refuse. */
public final class StreamCounters {
    final LongAdder malformedLines = new LongAdder();
    final LongAdder mismatchedLines = new LongAdder();
    final LongAdder duplicateTokens = new LongAdder();

    /** Returns the number of streams ended because of a malformed, oversize or out-of-sequence line. */
    public long malformedLines() {
        return malformedLines.sum();
    }

    /** Returns the number of lines discarded because they belong to another request or epoch. */
    public long mismatchedLines() {
        return mismatchedLines.sum();
    }

    /** Returns the number of tokens discarded because they were delivered before. */
    public long duplicateTokens() {
        return duplicateTokens.sum();
    }
}
