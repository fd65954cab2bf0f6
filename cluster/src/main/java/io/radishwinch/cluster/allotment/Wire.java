package io.radishwinch.cluster.allotment;

import io.radishwinch.protocol.generated.CallerDemand;
import io.radishwinch.protocol.generated.CallerShare;

/** Conversion between amounts and the integers on the wire. */
final class Wire {

    private static final double MILLI = 1_000;
    private static final long MAX = 1L << 50;

    private Wire() {}

    static CallerDemand demand(String caller, Amounts amounts) {
        return new CallerDemand(
                caller,
                toLong(amounts.requestsPerS() * MILLI),
                toLong(amounts.tokensPerS()),
                toLong(amounts.concurrent() * MILLI));
    }

    static Amounts amounts(CallerDemand demand) {
        return amounts(demand.getMilliRequestsPerS(), demand.getTokensPerS(), demand.getMilliConcurrent());
    }

    static CallerShare share(String caller, Share share) {
        Amounts amounts = share.amounts();
        return new CallerShare(
                caller,
                toLong(amounts.requestsPerS() * MILLI),
                toLong(amounts.tokensPerS()),
                toLong(amounts.concurrent() * MILLI),
                (int) Math.round(share.floorShare() * MILLI));
    }

    static Share share(CallerShare share) {
        return new Share(
                amounts(share.getMilliRequestsPerS(), share.getTokensPerS(), share.getMilliConcurrent()),
                Math.max(0, Math.min(1, share.getFloorPermille() / MILLI)));
    }

    /** Clamps what a faulty peer may send to finite amounts that are not negative. */
    private static Amounts amounts(long milliRequests, long tokens, long milliConcurrent) {
        return new Amounts(clamp(milliRequests) / MILLI, clamp(tokens), clamp(milliConcurrent) / MILLI);
    }

    private static long toLong(double value) {
        return clamp(Math.round(value));
    }

    private static long clamp(long value) {
        return Math.max(0, Math.min(MAX, value));
    }
}
