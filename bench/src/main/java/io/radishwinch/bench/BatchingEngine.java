package io.radishwinch.bench;

import io.radishwinch.bench.BatchedAttempt.StageWork;
import io.radishwinch.core.limit.TokenBucket;
import io.radishwinch.core.model.AcceleratorSpec;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.LoadReport;
import java.util.ArrayList;
import java.util.List;

/** An engine that processes all waiting work in batched passes. */
final class BatchingEngine {
    private static final long REQUEST_BURST_MS = 1_000;

    final EndpointSpec spec;
    final AcceleratorSpec accelerator;
    boolean isAlive = true;

    /** Layers that accept new work; null if there are none. */
    LayerRange layers;

    /** Layers of the order in progress; null if there is none. */
    LayerRange orderedLayers;

    boolean isLoading;
    boolean isInPass;
    long usedKvBytes;
    int runningAttempts;
    int runningEntries;
    /** Attempts accepted as the first stage of their chain. */
    long acceptedEntries;

    double busyUs;
    /** Number of crashes; passes and loads of an earlier one are discarded. */
    int crashes;

    private List<StageWork> waiting = new ArrayList<>();
    private TokenBucket requestLimit;

    /** A pass in progress and the work that is complete at its end. */
    record Pass(List<StageWork> completed, double durationUs) {}

    BatchingEngine(EndpointSpec spec, AcceleratorSpec accelerator) {
        this.spec = spec;
        this.accelerator = accelerator;
    }

    void add(StageWork work) {
        waiting.add(work);
    }

    /**
     * Starts a pass over the waiting work, or returns null if there is none. Prompts are processed in the order of
     * their arrival up to the limit of the pass; the rest waits for the next pass.
     */
    Pass startPass(PassTimes times) {
        waiting.removeIf(StageWork::isDiscarded);
        if (waiting.isEmpty()) {
            return null;
        }
        boolean isGenerating = waiting.stream().anyMatch(work -> !work.isPrompt());
        int steps = isGenerating ? times.stepsPerPass() : 1;
        int promptTokensLeft = steps * times.maxPromptTokensPerStep();
        double maxLayerShare = 0;
        double us = 0;
        List<StageWork> completed = new ArrayList<>();
        List<StageWork> remaining = new ArrayList<>();
        for (StageWork work : waiting) {
            double layerShare = work.layerShare();
            int tokens = Math.min(promptTokensLeft, work.promptTokens - work.processedTokens);
            if (work.isPrompt()) {
                us += times.promptUs(accelerator, tokens, work.processedTokens, layerShare);
                promptTokensLeft -= tokens;
                work.processedTokens += tokens;
            } else {
                us += times.sequenceUs(accelerator, work.attempt.contextTokens(), layerShare);
            }
            if (!work.isPrompt() || tokens > 0) {
                maxLayerShare = Math.max(maxLayerShare, layerShare);
            }
            (work.processedTokens < work.promptTokens ? remaining : completed).add(work);
        }
        waiting = remaining;
        us += times.stepsUs(accelerator, steps, maxLayerShare);
        isInPass = true;
        busyUs += us;
        return new Pass(completed, us);
    }

    void crash() {
        crashes++;
        isAlive = false;
        isInPass = false;
        isLoading = false;
        layers = null;
        orderedLayers = null;
        waiting.clear();
    }

    void setRequestLimit(double requestsPerS, long nowMs) {
        requestLimit = requestsPerS == Double.POSITIVE_INFINITY
                ? null
                : new TokenBucket(requestsPerS, REQUEST_BURST_MS, nowMs);
    }

    double requestLimitPerS() {
        return requestLimit == null ? Double.POSITIVE_INFINITY : requestLimit.ratePerS();
    }

    /** Takes a request out of the request limit; returns false if the limit allows none now. */
    boolean tryTakeRequest(long nowMs) {
        if (requestLimit == null) {
            return true;
        }
        if (requestLimit.waitMs(1, nowMs) > 0) {
            return false;
        }
        requestLimit.take(1);
        return true;
    }

    boolean holds(LayerRange range) {
        return isAlive && layers != null && layers.contains(range);
    }

    /** Returns the memory beside the weights, including those of an order in progress, in bytes. */
    long kvCapacityBytes() {
        LayerRange loaded = orderedLayers == null ? layers : orderedLayers;
        int count = loaded == null ? 0 : loaded.size();
        return Math.max(0, accelerator.memoryBytes() - count * BatchingPool.MODEL.layerBytes());
    }

    LoadReport loadReport(double layerTimeUs, long nowMs) {
        List<Holding> holdings = layers == null ? List.of() : List.of(new Holding(BatchingPool.MODEL.name(), layers));
        long freeBytes = Math.max(0, kvCapacityBytes() - usedKvBytes);
        return new LoadReport(spec.id(), holdings, runningAttempts, 0, freeBytes, layerTimeUs, nowMs);
    }
}
