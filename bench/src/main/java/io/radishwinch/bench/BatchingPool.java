package io.radishwinch.bench;

import io.radishwinch.core.model.AcceleratorSpec;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.EnginePoolSpec;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Rank;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A pseudorandom pool of engines of four accelerator kinds, and the requests that it receives.
 *
 * @param engines engines without layers
 * @param accelerators accelerators by kind
 * @param requestKinds kinds of requests
 * @param times times of passes and transfers
 */
record BatchingPool(
        List<EndpointSpec> engines,
        Map<String, AcceleratorSpec> accelerators,
        List<RequestKind> requestKinds,
        PassTimes times) {

    static final ModelSpec MODEL = new ModelSpec("m", 80, 1_750_000_000L, 80 * 10_000L, 16_384);

    /** Time to load all layers while at most {@link #LOADS_AT_ONCE} engines load, in ms. */
    static final long LOAD_MS = 12_000;

    /** Loads that the weight store serves at full rate. */
    static final int LOADS_AT_ONCE = 4;

    private static final int FIRST_STAGE_SLOTS = 128;
    private static final long BYTES_PER_GB = 1_000_000_000L;

    private static final List<AcceleratorSpec> KINDS = List.of(
            new AcceleratorSpec("80gb", 80 * BYTES_PER_GB, 1.5, 1),
            new AcceleratorSpec("40gb", 40 * BYTES_PER_GB, 3, 3),
            new AcceleratorSpec("24gb", 24 * BYTES_PER_GB, 15, 8),
            new AcceleratorSpec("16gb", 16 * BYTES_PER_GB, 15, 15));

    /** Share of the engines that are of the kind at the same position or an earlier one. */
    private static final double[] CUMULATIVE_KIND_SHARES = {0.03, 0.13, 0.56, 1};

    /**
     * A kind of requests; their sizes vary around the means.
     *
     * @param caller caller that sends the requests
     * @param rank urgency class
     * @param share share of all requests, 0 to 1
     * @param meanPromptTokens mean tokens of the prompt
     * @param meanNewTokens mean generated tokens
     * @param targetFirstTokenMs time from the first arrival to the first token within which a response is in time, in
     *     ms
     * @param targetPauseMs longest pause between tokens of a response that is in time, in ms
     * @param timeoutMs time from the first arrival to the deadline, in ms
     */
    record RequestKind(
            String caller,
            Rank rank,
            double share,
            int meanPromptTokens,
            int meanNewTokens,
            long targetFirstTokenMs,
            long targetPauseMs,
            long timeoutMs) {}

    /** Creates a pool; engines of every kind are spread over the data centres at random. */
    static BatchingPool create(int size, int dataCentres, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<EndpointSpec> engines = new ArrayList<>();
        int kind = 0;
        for (int i = 0; i < size; i++) {
            while (i >= Math.max(1, Math.round(CUMULATIVE_KIND_SHARES[kind] * size))) {
                kind++;
            }
            engines.add(engine(i, random.nextInt(dataCentres), KINDS.get(kind).kind()));
        }
        return new BatchingPool(engines, byKind(KINDS), defaultRequestKinds(), defaultTimes());
    }

    /** Creates a pool of engines of one kind in one data centre. */
    static BatchingPool ofOneKind(int size, AcceleratorSpec accelerator) {
        List<EndpointSpec> engines = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            engines.add(engine(i, 0, accelerator.kind()));
        }
        return new BatchingPool(engines, byKind(List.of(accelerator)), defaultRequestKinds(), defaultTimes());
    }

    private static EndpointSpec engine(int i, int dataCentre, String kind) {
        return new EndpointSpec(
                String.format("e%04d", i), "dc" + dataCentre, "127.0.0.1", i, kind, FIRST_STAGE_SLOTS, true, true);
    }

    private static Map<String, AcceleratorSpec> byKind(List<AcceleratorSpec> accelerators) {
        Map<String, AcceleratorSpec> byKind = new LinkedHashMap<>();
        accelerators.forEach(accelerator -> byKind.put(accelerator.kind(), accelerator));
        return byKind;
    }

    private static List<RequestKind> defaultRequestKinds() {
        return List.of(
                new RequestKind("chat", Rank.INTERACTIVE, 0.6, 600, 150, 1_500, 1_000, 20_000),
                new RequestKind("accounts", Rank.ACCOUNT_ACTION, 0.25, 1_500, 100, 3_000, 1_000, 25_000),
                new RequestKind("batch", Rank.BATCH, 0.15, 400, 400, 10_000, 3_000, 40_000));
    }

    private static PassTimes defaultTimes() {
        return new PassTimes(900, 20, 0.02, 200_000, 0.002, 512, 4, 40_000, 10_000, 10_000, 400);
    }

    int meanPromptTokens() {
        return (int) Math.round(requestKinds.stream()
                .mapToDouble(kind -> kind.share() * kind.meanPromptTokens())
                .sum());
    }

    int meanNewTokens() {
        return (int) Math.round(requestKinds.stream()
                .mapToDouble(kind -> kind.share() * kind.meanNewTokens())
                .sum());
    }

    EnginePoolSpec spec() {
        return new EnginePoolSpec(
                meanPromptTokens() + meanNewTokens(),
                times.stepsPerPass(),
                LOAD_MS,
                times.stepUs(),
                times.crossDataCentreTransferUs(meanPromptTokens()),
                accelerators);
    }

    /** Returns the time of a mean request that is alone on engines of mean speed, in s. */
    double meanServiceS() {
        double us = 0;
        for (EndpointSpec engine : engines) {
            AcceleratorSpec accelerator = accelerators.get(engine.acceleratorKind());
            us += times.promptUs(accelerator, meanPromptTokens(), 0, 1)
                    + times.stepsUs(accelerator, meanNewTokens(), 1)
                    + times.sequenceUs(accelerator, meanPromptTokens(), 1) * meanNewTokens() / times.stepsPerPass();
        }
        return us / engines.size() / 1e6;
    }
}
