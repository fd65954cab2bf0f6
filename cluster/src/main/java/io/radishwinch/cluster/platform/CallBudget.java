package io.radishwinch.cluster.platform;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Limits the platform calls of one router by token buckets for reads and writes.
 *
 * <p>Calls above the rate wait in a bounded queue, ordered by priority. A pending watch uses one read per second,
 * because the platform counts it as one call per second.
 */
public final class CallBudget {
    private static final int MAX_WAITING_CALLS = 1_000;

    private final Scheduler scheduler;
    private final CallQueue reads;
    private final CallQueue writes;
    private CallRates rates;
    private int pendingWatches;

    /** Creates a budget with full buckets. */
    public CallBudget(Scheduler scheduler, CallRates rates) {
        this.scheduler = scheduler;
        this.rates = rates;
        this.reads = new CallQueue(rates.readsPerS());
        this.writes = new CallQueue(rates.writesPerS());
    }

    /** Changes the rates, for example after a router joined or the writer of a shard changed. */
    public void setRates(CallRates newRates) {
        rates = newRates;
        applyRates();
    }

    /** Returns the number of calls that wait for a token. */
    public int waitingCalls() {
        return reads.waitingCalls.size() + writes.waitingCalls.size();
    }

    /**
     * Runs a call as soon as the budget allows it.
     *
     * @param maxWaitMs time after which the call is rejected, in ms
     * @param rejected runs if the call is rejected; the call then never runs
     */
    void runWhenAllowed(boolean isWrite, CallPriority priority, long maxWaitMs, Runnable call, Runnable rejected) {
        (isWrite ? writes : reads).add(priority, maxWaitMs, call, rejected);
    }

    void onWatchStarted() {
        pendingWatches++;
        applyRates();
    }

    void onWatchEnded() {
        pendingWatches--;
        applyRates();
    }

    private void applyRates() {
        reads.bucket.setRate(rates.readsPerS() - pendingWatches, scheduler.nowMs());
        writes.bucket.setRate(rates.writesPerS(), scheduler.nowMs());
        reads.runAllowedCalls();
        writes.runAllowedCalls();
    }

    private record WaitingCall(CallPriority priority, long order, Runnable call) {}

    /** Queue of the calls of one kind. */
    private final class CallQueue {
        private final TokenBucket bucket;
        private final PriorityQueue<WaitingCall> waitingCalls =
                new PriorityQueue<>(Comparator.comparing(WaitingCall::priority).thenComparing(WaitingCall::order));
        private long nextOrder;
        private Scheduler.Timer timer;

        private CallQueue(double ratePerS) {
            bucket = new TokenBucket(ratePerS, scheduler.nowMs());
        }

        private void add(CallPriority priority, long maxWaitMs, Runnable call, Runnable rejected) {
            if (waitingCalls.isEmpty() && bucket.tryTake(scheduler.nowMs())) {
                call.run();
                return;
            }
            if (waitingCalls.size() >= MAX_WAITING_CALLS) {
                rejected.run();
                return;
            }
            WaitingCall added = new WaitingCall(priority, nextOrder++, call);
            waitingCalls.add(added);
            scheduler.schedule(maxWaitMs, () -> {
                if (waitingCalls.remove(added)) {
                    rejected.run();
                }
            });
            runAllowedCalls();
        }

        private void runAllowedCalls() {
            while (!waitingCalls.isEmpty() && bucket.tryTake(scheduler.nowMs())) {
                waitingCalls.poll().call().run();
            }
            if (!waitingCalls.isEmpty()) {
                if (timer != null) {
                    timer.cancel();
                }
                timer = scheduler.schedule(Math.max(1, bucket.waitMs(scheduler.nowMs())), this::runAllowedCalls);
            }
        }
    }
}
