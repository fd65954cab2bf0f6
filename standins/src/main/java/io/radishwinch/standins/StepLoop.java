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
final class StepLoop {
    /** Prompt tokens are processed in parallel; one costs this fraction of an answer token. */
    private static final double PREFILL_COST = 1.0 / 64;

    private static final long NS_PER_MS = 1_000_000;

    private final Vertx vertx;
    private final Work work;
    private final PriorityQueue<Step> waiting = new PriorityQueue<>(
            Comparator.<Step>comparingInt(step -> step.attempt().priority).thenComparingLong(Step::order));
    private List<Step> batch = List.of();
    private boolean busy;
    private boolean halted;
    private long freeAtNs;
    private long order;

    StepLoop(Vertx vertx, Work work) {
        this.vertx = vertx;
        this.work = work;
    }

    void add(StageAttempt attempt, int sequence, String trace) {
        add(new Step(attempt, sequence, trace, order++));
    }

    void add(Step step) {
        waiting.add(step);
        startRound();
    }

    void setHalted(boolean newHalted) {
        halted = newHalted;
        startRound();
    }

    void clear() {
        waiting.clear();
        batch = List.of();
    }

    private void startRound() {
        if (busy || halted || waiting.isEmpty()) {
            return;
        }
        busy = true;
        // Steps that arrive in the same turn of the event loop join the batch.
        vertx.runOnContext(ignored -> round());
    }

    private void round() {
        List<Step> taken = new ArrayList<>();
        double layerUnits = 0;
        double prefillUnits = 0;
        while (!waiting.isEmpty() && taken.size() < work.slots()) {
            Step step = waiting.remove();
            if (step.attempt().closed) {
                continue;
            }
            int layers = step.attempt().stage().end() - step.attempt().stage().first();
            layerUnits = Math.max(layerUnits, layers);
            prefillUnits += work.prefillTokens(step.attempt()) * layers * PREFILL_COST;
            taken.add(step);
        }
        batch = taken;
        long costNs = (long) ((layerUnits + prefillUnits) * work.layerTimeUs() * 1_000);
        long now = System.nanoTime();
        freeAtNs = Math.max(now, freeAtNs) + costNs;
        long waitMs = (freeAtNs - now) / NS_PER_MS;
        if (waitMs >= 1) {
            vertx.setTimer(waitMs, id -> finish(costNs));
        } else {
            finish(costNs);
        }
    }

    private void finish(long costNs) {
        List<Step> finished = batch;
        batch = List.of();
        busy = false;
        for (Step step : finished) {
            if (!step.attempt().closed) {
                work.executed(step, costNs / 1_000);
            }
        }
        startRound();
    }

    /** What the accelerator works for. */
    interface Work {
        int slots();

        double layerTimeUs();

        /** Returns the tokens that must be processed before the attempt's first step, and counts them as processed. */
        int prefillTokens(StageAttempt attempt);

        void executed(Step step, long stageUs);
    }
}
