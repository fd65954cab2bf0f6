package io.radishwinch.cluster.allotment;

import io.radishwinch.protocol.generated.CallerDemand;
import io.radishwinch.protocol.generated.CallerShare;

/** Converts between loads and the integers of Thrift messages. */
final class WireConversion {

    private static final double MILLI = 1_000;
    private static final long MAX_WIRE_VALUE = 1L << 50;

    private WireConversion() {}

    static CallerDemand toThriftDemand(String caller, LoadVector amounts) {
        return new CallerDemand(
                caller,
                toLong(amounts.requestsPerS() * MILLI),
                toLong(amounts.tokensPerS()),
                toLong(amounts.concurrentRequests() * MILLI));
    }

    static LoadVector fromThriftDemand(CallerDemand demand) {
        return clampedLoad(demand.getMilliRequestsPerS(), demand.getTokensPerS(), demand.getMilliConcurrent());
    }

    static CallerShare toThriftShare(String caller, Share share) {
        LoadVector amounts = share.limits();
        return new CallerShare(
                caller,
                toLong(amounts.requestsPerS() * MILLI),
                toLong(amounts.tokensPerS()),
                toLong(amounts.concurrentRequests() * MILLI),
                (int) Math.round(share.floorShare() * MILLI));
    }

    static Share fromThriftShare(CallerShare share) {
        return new Share(
                clampedLoad(share.getMilliRequestsPerS(), share.getTokensPerS(), share.getMilliConcurrent()),
                Math.max(0, Math.min(1, share.getFloorPermille() / MILLI)));
    }

    /** Returns a load with values clamped to a finite range, because a faulty peer may send any number. */
    private static LoadVector clampedLoad(long milliRequests, long tokens, long milliConcurrent) {
        return new LoadVector(clamp(milliRequests) / MILLI, clamp(tokens), clamp(milliConcurrent) / MILLI);
    }

    private static long toLong(double value) {
        return clamp(Math.round(value));
    }

    private static long clamp(long value) {
        return Math.max(0, Math.min(MAX_WIRE_VALUE, value));
    }
}
