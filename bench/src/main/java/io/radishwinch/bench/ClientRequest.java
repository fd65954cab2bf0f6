package io.radishwinch.bench;

import io.radishwinch.bench.BatchingPool.RequestKind;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.Verdict;

/** Records a request of a client of a {@link BatchingPoolSimulation} over all attempts of the client. */
final class ClientRequest {
    final int number;
    final RequestKind kind;
    final long arrivedAtMs;
    /** Trace of the latest attempt of the client. */
    RequestTrace trace;

    int clientAttempts;
    /** Attempts of the client that were refused and followed by another one. */
    int refusedAttempts;

    private long lastTokenAtMs;
    private long longestPauseMs;

    ClientRequest(int number, RequestKind kind, long arrivedAtMs) {
        this.number = number;
        this.kind = kind;
        this.arrivedAtMs = arrivedAtMs;
    }

    void recordTokens(int deliveredTokens, long nowMs) {
        if (trace.firstTokenAtMs < 0) {
            trace.firstTokenAtMs = nowMs;
        } else {
            longestPauseMs = Math.max(longestPauseMs, nowMs - lastTokenAtMs);
        }
        lastTokenAtMs = nowMs;
        trace.deliveredTokens = deliveredTokens;
    }

    /** Returns whether the request was served with its first token and all others in time. */
    boolean isInTime() {
        return trace.isServed()
                && trace.firstTokenAtMs - arrivedAtMs <= kind.targetFirstTokenMs()
                && longestPauseMs <= kind.targetPauseMs();
    }

    boolean isLate() {
        return trace.outcome instanceof Action.Complete && !isInTime();
    }

    boolean isRefused() {
        return trace.outcome instanceof Action.Refuse refuse && refuse.verdict() == Verdict.NOT_RUN;
    }
}
