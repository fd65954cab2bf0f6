package io.radishwinch.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Outcome of one run on a {@link BatchingPool}.
 *
 * @param pool name of the pool
 * @param pattern disturbance of the pool
 * @param variant name of the strategies
 * @param inTime share of the requests served with the first token and all others in time
 * @param late share of the requests served later
 * @param refused share of the requests that ended refused and never ran
 * @param failed share of the requests that ran and have no complete response
 * @param refusedAgain refused attempts of clients that were followed by another one, for each request
 * @param busiestEntries chains of the engine that was most often first stage, relative to the mean of all engines
 * @param busiestPassTime pass time of the busiest engine, relative to the mean of all engines
 * @param pathLoad time for which transfers occupy the path between data centres, relative to the time of the arrivals
 * @param boundTokensPerS throughput bound that the core estimates when all requests have ended, in tokens/s
 * @param scarcestSlots slots of the scarcest layer at its minimum
 * @param scarcestRequestsPerS requests/s of the scarcest layer at its minimum
 * @param localRequestsPerS requests/s without hops between data centres at their minimum: the sum of the scarcest
 *     layers of the data centres
 * @param samples capacity of the layers in each second of the arrivals
 * @param inTimeBySecond share in time of the requests that arrived in each second; NaN without requests
 */
record PoolResult(
        String pool,
        LoadPattern pattern,
        String variant,
        double inTime,
        double late,
        double refused,
        double failed,
        double refusedAgain,
        double busiestEntries,
        double busiestPassTime,
        double pathLoad,
        double boundTokensPerS,
        double scarcestSlots,
        double scarcestRequestsPerS,
        double localRequestsPerS,
        List<LayerCapacitySample> samples,
        List<Double> inTimeBySecond) {

    /** Summarizes a finished simulation with arrivals from {@code fromMs} to {@code toMs}. */
    static PoolResult of(
            BatchingPoolSimulation simulation,
            String pool,
            LoadPattern pattern,
            String variant,
            long fromMs,
            long toMs) {
        List<LayerCapacitySample> samples = simulation.samples.stream()
                .filter(sample -> sample.atMs() >= fromMs && sample.atMs() < toMs)
                .toList();
        List<Double> inTimeBySecond = new ArrayList<>();
        for (long atMs = fromMs; atMs < toMs; atMs += 1_000) {
            long secondMs = atMs;
            List<ClientRequest> arrived = simulation.requests.stream()
                    .filter(request -> request.arrivedAtMs >= secondMs && request.arrivedAtMs < secondMs + 1_000)
                    .toList();
            inTimeBySecond.add(share(arrived, ClientRequest::isInTime));
        }
        List<ClientRequest> requests = simulation.requests;
        double inTime = share(requests, ClientRequest::isInTime);
        double late = share(requests, ClientRequest::isLate);
        double refused = share(requests, ClientRequest::isRefused);
        return new PoolResult(
                pool,
                pattern,
                variant,
                inTime,
                late,
                refused,
                share(requests, request -> !request.isInTime() && !request.isLate() && !request.isRefused()),
                requests.stream()
                        .mapToInt(request -> request.refusedAttempts)
                        .average()
                        .orElse(0),
                maxOverMean(simulation, engine -> engine.acceptedEntries),
                maxOverMean(simulation, engine -> engine.busyUs),
                simulation.pathUseUs / 1_000 / (toMs - fromMs),
                simulation.throughputBoundTokensPerS(),
                min(samples, LayerCapacitySample::minSlots),
                min(samples, LayerCapacitySample::minRequestsPerS),
                min(samples, LayerCapacitySample::localRequestsPerS),
                samples,
                inTimeBySecond);
    }

    private static double share(List<ClientRequest> requests, Predicate<ClientRequest> filter) {
        return (double) requests.stream().filter(filter).count() / requests.size();
    }

    private static double min(List<LayerCapacitySample> samples, ToDoubleFunction<LayerCapacitySample> value) {
        return samples.stream().mapToDouble(value).min().orElse(Double.NaN);
    }

    private static double maxOverMean(BatchingPoolSimulation simulation, ToDoubleFunction<BatchingEngine> value) {
        double max = 0;
        double sum = 0;
        for (BatchingEngine engine : simulation.engines.values()) {
            max = Math.max(max, value.applyAsDouble(engine));
            sum += value.applyAsDouble(engine);
        }
        return max * simulation.engines.size() / sum;
    }
}
