package io.radishwinch.standins;

import io.radishwinch.standins.StageAttempt.Step;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Simulated accelerator with continuous batching.
 *
 * <p>Each round runs the queued steps of the highest priority, at most one per slot. The time of a batch is that of its
 * largest stage, independent of the number of steps, plus the prefill of its new attempts. Time below the timer
 * resolution of 1 ms is carried over to the next round, so the mean rate is exact. Not thread-safe.
 */
final class SimulatedAccelerator {
    /** Cost of a prompt token relative to a generated token; prompt tokens are processed in parallel. */
    private static final double PREFILL_COST_RATIO = 1.0 / 64;

    private static final long NS_PER_MS = 1_000_000;

    private final Vertx vertx;
    private final EngineCallbacks engine;
    private final PriorityQueue<Step> queuedSteps = new PriorityQueue<>(
            Comparator.<Step>comparingInt(step -> step.attempt().priority).thenComparingLong(Step::order));
    private List<Step> batch = List.of();
    private boolean isBusy;
    private boolean isPaused;
    private long freeAtNs;
    private long nextOrder;

    SimulatedAccelerator(Vertx vertx, EngineCallbacks engine) {
        this.vertx = vertx;
        this.engine = engine;
    }

    void add(StageAttempt attempt, int sequence, String trace) {
        add(new Step(attempt, sequence, trace, nextOrder++));
    }

    void add(Step step) {
        queuedSteps.add(step);
        scheduleRound();
    }

    void setPaused(boolean newPaused) {
        isPaused = newPaused;
        scheduleRound();
    }

    void clear() {
        queuedSteps.clear();
        batch = List.of();
    }

    private void scheduleRound() {
        if (isBusy || isPaused || queuedSteps.isEmpty()) {
            return;
        }
        isBusy = true;
        // Steps that are added in the same iteration of the event loop join the batch.
        vertx.runOnContext(ignored -> runRound());
    }

    private void runRound() {
        List<Step> steps = new ArrayList<>();
        double layerUnits = 0;
        double prefillUnits = 0;
        while (!queuedSteps.isEmpty() && steps.size() < engine.slots()) {
            Step step = queuedSteps.remove();
            if (step.attempt().isClosed) {
                continue;
            }
            int layers = step.attempt().stage().end() - step.attempt().stage().first();
            layerUnits = Math.max(layerUnits, layers);
            prefillUnits += engine.takePrefillTokens(step.attempt()) * layers * PREFILL_COST_RATIO;
            steps.add(step);
        }
        batch = steps;
        long costNs = (long) ((layerUnits + prefillUnits) * engine.layerTimeUs() * 1_000);
        long nowNs = System.nanoTime();
        freeAtNs = Math.max(nowNs, freeAtNs) + costNs;
        long waitMs = (freeAtNs - nowNs) / NS_PER_MS;
        if (waitMs >= 1) {
            vertx.setTimer(waitMs, id -> finishRound(costNs));
        } else {
            finishRound(costNs);
        }
    }

    private void finishRound(long costNs) {
        List<Step> finished = batch;
        batch = List.of();
        isBusy = false;
        for (Step step : finished) {
            if (!step.attempt().isClosed) {
                engine.onStepExecuted(step, costNs / 1_000);
            }
        }
        scheduleRound();
    }

    /** Properties and callbacks of the engine that owns the accelerator. */
    interface EngineCallbacks {
        int slots();

        double layerTimeUs();

        /** Returns the number of tokens to prefill before the first step of an attempt, and marks them as prefilled. */
        int takePrefillTokens(StageAttempt attempt);

        void onStepExecuted(Step step, long stageUs);
    }
}
