package io.radishwinch.cluster.platform;

/** Clock and timers of the control thread. All tasks run on that thread. */
public interface Scheduler {

    /** Returns the time of a monotonic clock, in ms. */
    long nowMs();

    /**
     * Runs a task once.
     *
     * @param delayMs delay, in ms; 0 or less runs the task as soon as the current one has ended
     * @return handle that cancels the task
     */
    Timer schedule(long delayMs, Runnable task);

    /** Handle of a scheduled task. */
    interface Timer {
        /** Prevents the task from running, if it has not run yet. */
        void cancel();
    }
}
