package io.radishwinch.server.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.radishwinch.config.build.BuildIdentity;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Counters and histograms of one router, exported in the Prometheus text format. All label values are from fixed sets,
 * so that the number of time series does not grow with the number of callers or endpoints.
 */
public final class RouterMetrics {
    private static final String RANK = "rank";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<Rank, Map<Reason, Counter>> refusals = new EnumMap<>(Rank.class);
    private final Map<Reason, Counter> unrankedRefusals;
    private final Map<Rank, Map<Reason, Counter>> retries = new EnumMap<>(Rank.class);
    private final Map<Rank, Counter> responses = new EnumMap<>(Rank.class);
    private final Map<Rank, Counter> deliveredTokens = new EnumMap<>(Rank.class);
    private final Map<Rank, Timer> timeToFirstToken = new EnumMap<>(Rank.class);
    private final Map<Rank, DistributionSummary> tokenInterval = new EnumMap<>(Rank.class);

    /** Creates all time series, so that each of them is exported with the value 0 from the start. */
    public RouterMetrics() {
        unrankedRefusals = reasonCounters("radishwinch.refusals", "requests refused or failed", "none");
        for (Rank rank : Rank.values()) {
            String name = rank.wireName();
            refusals.put(rank, reasonCounters("radishwinch.refusals", "requests refused or failed", name));
            retries.put(rank, reasonCounters("radishwinch.retries", "attempts after the first", name));
            responses.put(rank, counter("radishwinch.answers", "whole answers", RANK, name));
            deliveredTokens.put(rank, counter("radishwinch.answer.tokens", "tokens delivered", RANK, name));
            timeToFirstToken.put(
                    rank,
                    Timer.builder("radishwinch.first.token")
                            .description("time from arrival to the first token")
                            .tag(RANK, name)
                            .publishPercentileHistogram()
                            .minimumExpectedValue(Duration.ofMillis(1))
                            .maximumExpectedValue(Duration.ofMinutes(1))
                            .register(registry));
            tokenInterval.put(
                    rank,
                    DistributionSummary.builder("radishwinch.token.interval.ms")
                            .description("mean time between the tokens of an answer, in ms")
                            .tag(RANK, name)
                            .serviceLevelObjectives(10, 20, 40, 60, 100, 200, 500, 1000)
                            .register(registry));
        }
    }

    /**
     * Counts a request that was refused or failed.
     *
     * @param rank rank of the request, or null if unknown
     */
    public void countRefusal(Rank rank, Reason reason) {
        (rank == null ? unrankedRefusals : refusals.get(rank)).get(reason).increment();
    }

    /** Counts a retry by rank and reason of the failed attempt. */
    public void countRetry(Rank rank, Reason reason) {
        retries.get(rank).get(reason).increment();
    }

    /**
     * Records a complete response and its token timing.
     *
     * @param tokenCount number of tokens delivered
     * @param timeToFirstTokenMs time from arrival to the first token in ms, or 0 if no token was delivered
     * @param meanIntervalMs mean time between tokens in ms, or 0 for fewer than two tokens
     */
    public void recordResponse(Rank rank, int tokenCount, long timeToFirstTokenMs, double meanIntervalMs) {
        responses.get(rank).increment();
        deliveredTokens.get(rank).increment(tokenCount);
        if (tokenCount > 0) {
            timeToFirstToken.get(rank).record(Duration.ofMillis(timeToFirstTokenMs));
        }
        if (tokenCount > 1) {
            tokenInterval.get(rank).record(meanIntervalMs);
        }
    }

    /** Registers a counter without labels, with the initial value 0, and returns it. */
    public Counter counter(String name, String description) {
        return Counter.builder(name).description(description).register(registry);
    }

    /** Registers a counter with one label from a fixed set of values, with the initial value 0, and returns it. */
    public Counter counter(String name, String description, String label, String value) {
        return Counter.builder(name).description(description).tag(label, value).register(registry);
    }

    /** Registers a counter with one label from a fixed set of values, whose value is read on each scrape. */
    public void functionCounter(
            String name, String description, String label, String labelValue, Supplier<Number> value) {
        FunctionCounter.builder(name, value, supplier -> supplier.get().doubleValue())
                .description(description)
                .tag(label, labelValue)
                .register(registry);
    }

    /** Registers a gauge whose value is read on each scrape. */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /** Registers the build that the process runs, as the label of a gauge with the value 1. */
    public void build(BuildIdentity build) {
        Gauge.builder("radishwinch.build", () -> 1)
                .description("build that this process runs")
                .tag("identity", build.value())
                .register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    private Map<Reason, Counter> reasonCounters(String name, String description, String rank) {
        Map<Reason, Counter> counters = new EnumMap<>(Reason.class);
        for (Reason reason : Reason.values()) {
            counters.put(
                    reason,
                    Counter.builder(name)
                            .description(description)
                            .tag(RANK, rank)
                            .tag("reason", reason.wireName())
                            .register(registry));
        }
        return counters;
    }
}
