package io.radishwinch.server;

import io.radishwinch.cluster.platform.Scheduler;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.function.LongSupplier;

/** Timers of the control thread. */
public final class VertxScheduler implements Scheduler {
    private final Vertx vertx;
    private final Context context;
    private final LongSupplier clockMs;

    /**
     * Creates timers.
     *
     * @param clockMs clock that never decreases, in ms, so that a step of the wall clock delays nothing
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

    /** The timer is created on the control context, so its task runs there. */
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
