package io.radishwinch.core.queue;

import io.radishwinch.core.model.RequestSpec;
import java.util.TreeMap;

/** Waiting requests of one caller, rank and pool. */
final class Flow {

    final CallerAccount account;
    final Lane lane;
    /** Waiting requests by sequence number; requeued ones have negative numbers. */
    final TreeMap<Long, QueuedRequest> queued = new TreeMap<>();
    /** Start tag of the next request: virtual time at which it would start in an ideally fair system. */
    double startTag;

    Flow(CallerAccount account, Lane lane) {
        this.account = account;
        this.lane = lane;
    }

    QueuedRequest head() {
        return queued.firstEntry().getValue();
    }

    /**
     * A waiting request.
     *
     * @param sequence order within its flow
     * @param request the request
     * @param isCharged whether an earlier poll charged it
     * @param flow flow that it waits in
     */
    record QueuedRequest(long sequence, RequestSpec request, boolean isCharged, Flow flow) {}
}
