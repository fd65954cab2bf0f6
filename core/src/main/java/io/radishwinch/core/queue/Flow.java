package io.radishwinch.core.queue;

import io.radishwinch.core.model.RequestSpec;
import java.util.TreeMap;

/** Queued requests of one caller, rank and pool. */
final class Flow {

    final CallerAccount account;
    final Lane lane;
    /** Queued requests by sequence number; requeued ones have negative numbers. */
    final TreeMap<Long, QueuedRequest> queued = new TreeMap<>();
    /** Start tag of the next request: the virtual time at which an ideally fair system would start it. */
    double startTag;

    Flow(CallerAccount account, Lane lane) {
        this.account = account;
        this.lane = lane;
    }

    QueuedRequest head() {
        return queued.firstEntry().getValue();
    }

    /**
     * A queued request.
     *
     * @param sequence sequence number, which orders the requests of a flow
     * @param request the request
     * @param isCharged whether an earlier poll charged it
     * @param flow flow that contains it
     */
    record QueuedRequest(long sequence, RequestSpec request, boolean isCharged, Flow flow) {}
}
