package io.radishwinch.bench;

import java.util.PriorityQueue;

/** Virtual clock that runs scheduled tasks in the order of their time, and of their scheduling at equal times. */
final class SimulationClock {
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long nextSequence;
    private long nowUs;

    private record Task(long atUs, long sequence, Runnable action) implements Comparable<Task> {
        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    long nowUs() {
        return nowUs;
    }

    long nowMs() {
        return nowUs / 1_000;
    }

    /** Schedules a task at the given virtual time. */
    void schedule(long atUs, Runnable action) {
        tasks.add(new Task(atUs, nextSequence++, action));
    }

    /** Runs all tasks up to the given time, including those that they schedule. */
    void runUntil(long untilUs) {
        while (!tasks.isEmpty() && tasks.peek().atUs() <= untilUs) {
            Task next = tasks.poll();
            nowUs = next.atUs();
            next.action().run();
        }
        nowUs = untilUs;
    }
}
