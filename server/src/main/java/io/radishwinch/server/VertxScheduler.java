package io.radishwinch.server;

import io.radishwinch.cluster.platform.Scheduler;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.LongSupplier;

/** Schedules tasks on the control thread with Vert.x timers. */
public final class VertxScheduler implements Scheduler {
    private final Vertx vertx;
    private final Context context;
    private final LongSupplier clockMs;

    /**
     * Creates a scheduler.
     *
     * @param clockMs monotonic clock, in ms, so that changes of the wall clock delay no task
     */
    public VertxScheduler(Vertx vertx, Context context, LongSupplier clockMs) {
        this.vertx = vertx;
        this.context = context;
        this.clockMs = clockMs;
    }

    @Override
    public long nowMs() {
        return clockMs.getAsLong();
    }

    /** Creates the timer on the control context, so that the task runs there. */
    @Override
    public Timer schedule(long delayMs, Runnable task) {
        boolean[] cancelled = {false};
        context.runOnContext(ignored -> {
            if (delayMs <= 0) {
                runUnlessCancelled(cancelled, task);
            } else {
                vertx.setTimer(delayMs, id -> runUnlessCancelled(cancelled, task));
            }
        });
        return () -> cancelled[0] = true;
    }

    private static void runUnlessCancelled(boolean[] cancelled, Runnable task) {
        if (!cancelled[0]) {
            task.run();
        }
    }
}
