package io.radishwinch.standins;

import io.radishwinch.standins.StageAttempt.Step;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Simulated accelerator with continuous batching: each round takes the most urgent waiting steps, at most one per slot.
 *
 * <p>A batch takes the time of its largest stage, whatever its size, plus the prompt processing of its new attempts.
 * Time below the timer's resolution of 1 ms is carried over, so that the mean rate is exact.
 */
final class SimulatedAccelerator {
    /** Prompt tokens are processed in parallel; one costs this fraction of an answer token. */
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

    SimulatedAccelerator(Vertx vertx, EngineCallbacks work) {
        this.vertx = vertx;
        this.engine = work;
    }

    void add(StageAttempt attempt, int sequence, String trace) {
        add(new Step(attempt, sequence, trace, nextOrder++));
    }

    void add(Step step) {
        queuedSteps.add(step);
        scheduleRound();
    }

    void setPaused(boolean newHalted) {
        isPaused = newHalted;
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
        // Steps that arrive in the same turn of the event loop join the batch.
        vertx.runOnContext(ignored -> runRound());
    }

    private void runRound() {
        List<Step> taken = new ArrayList<>();
        double layerUnits = 0;
        double prefillUnits = 0;
        while (!queuedSteps.isEmpty() && taken.size() < engine.slots()) {
            Step step = queuedSteps.remove();
            if (step.attempt().isClosed) {
                continue;
            }
            int layers = step.attempt().stage().end() - step.attempt().stage().first();
            layerUnits = Math.max(layerUnits, layers);
            prefillUnits += engine.takePrefillTokens(step.attempt()) * layers * PREFILL_COST_RATIO;
            taken.add(step);
        }
        batch = taken;
        long costNs = (long) ((layerUnits + prefillUnits) * engine.layerTimeUs() * 1_000);
        long now = System.nanoTime();
        freeAtNs = Math.max(now, freeAtNs) + costNs;
        long waitMs = (freeAtNs - now) / NS_PER_MS;
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

    /** What the accelerator works for. */
    interface EngineCallbacks {
        int slots();

        double layerTimeUs();

        /** Returns the tokens that must be processed before the attempt's first step, and counts them as processed. */
        int takePrefillTokens(StageAttempt attempt);

        void onStepExecuted(Step step, long stageUs);
    }
}
