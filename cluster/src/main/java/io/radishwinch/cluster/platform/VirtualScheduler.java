package io.radishwinch.cluster.platform;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * {@link Scheduler} with a virtual clock, which advances only during {@link #runUntil}, {@link #advance} and
 * {@link #runNext}.
 */
public final class VirtualScheduler implements Scheduler {
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(
            Comparator.comparingLong((Task task) -> task.atMs).thenComparingLong(task -> task.order));
    private long nowMs;
    private long nextOrder;

    /** Creates a scheduler with the given current time, in ms since the epoch. */
    public VirtualScheduler(long startMs) {
        this.nowMs = startMs;
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
        Task scheduled = new Task(nowMs + Math.max(0, delayMs), nextOrder++, task);
        tasks.add(scheduled);
        return () -> scheduled.cancelled = true;
    }

    /** Runs all tasks that are due within the given time, ordered by time and then by scheduling. */
    public void advance(long durationMs) {
        runUntil(nowMs + durationMs);
    }

    /** Runs all tasks that are due up to the given time, then sets the clock to that time. */
    public void runUntil(long untilMs) {
        while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
            runNext();
        }
        nowMs = Math.max(nowMs, untilMs);
    }

    /**
     * Runs the next task and moves the clock to it.
     *
     * @return false if no task is left
     */
    public boolean runNext() {
        Task next = tasks.poll();
        if (next == null) {
            return false;
        }
        if (!next.cancelled) {
            nowMs = Math.max(nowMs, next.atMs);
            next.task.run();
        }
        return true;
    }

    private static final class Task {
        private final long atMs;
        private final long order;
        private final Runnable task;
        private boolean cancelled;

        private Task(long atMs, long order, Runnable task) {
            this.atMs = atMs;
            this.order = order;
            this.task = task;
        }
    }
}
