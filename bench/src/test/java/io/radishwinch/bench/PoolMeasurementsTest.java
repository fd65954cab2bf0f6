package io.radishwinch.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.AcceleratorSpec;
import io.radishwinch.core.model.RequestSpec;
import java.io.StringReader;
import java.util.List;
import javax.xml.parsers.DocumentBuilderFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xml.sax.InputSource;

class PoolMeasurementsTest {
    private static final long START_MS = BatchingPoolSimulation.TRAFFIC_START_MS;
    private static final AcceleratorSpec HALF_MODEL = new AcceleratorSpec("half", 80_000_000_000L, 2, 2);
    private static final AcceleratorSpec WHOLE_MODEL = new AcceleratorSpec("whole", 200_000_000_000L, 2, 2);

    @Test
    void theSameSeedGivesTheSameResult() {
        PoolResult first = run(PoolMeasurements.PRODUCT, LoadPattern.FIRST_HOLDERS_LOST, 3);
        assertThat(run(PoolMeasurements.PRODUCT, LoadPattern.FIRST_HOLDERS_LOST, 3))
                .usingRecursiveComparison()
                .isEqualTo(first);
        assertThat(run(PoolMeasurements.PRODUCT, LoadPattern.FIRST_HOLDERS_LOST, 4)
                        .inTimeBySecond())
                .isNotEqualTo(first.inTimeBySecond());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aPoolWithoutLossServesEveryRequest(long seed) {
        PoolResult result = run(PoolMeasurements.PRODUCT, LoadPattern.CALM, seed);
        assertThat(result.inTime() + result.late()).isEqualTo(1);
        assertThat(result.scarcestSlots()).isPositive();
    }

    @Test
    void noRequestEndsBetweenTheLossOfTheOnlyHolderOfALayerAndItsReload() {
        BatchingPoolSimulation simulation = simulation(BatchingPool.ofOneKind(2, HALF_MODEL));
        simulation.addArrivals(4, START_MS, START_MS + 40_000);
        simulation.runUntil(START_MS + 10_000);
        simulation.crash("e0001", 5_000);
        simulation.runUntil(START_MS + 90_000);

        long reloadedAtMs = simulation.samples.stream()
                .filter(sample -> sample.atMs() > START_MS + 11_000 && sample.minSlots() > 0)
                .mapToLong(LayerCapacitySample::atMs)
                .findFirst()
                .orElseThrow();
        assertThat(reloadedAtMs).isGreaterThan(START_MS + 15_000);
        List<Long> servedAtMs = simulation.requests.stream()
                .filter(request -> request.trace.outcome instanceof Action.Complete)
                .map(request -> request.trace.endedAtMs)
                .toList();
        // The sample is taken up to a second after the reload.
        assertThat(servedAtMs)
                .noneMatch(atMs -> atMs > START_MS + 10_000 && atMs < reloadedAtMs - 1_000)
                .anyMatch(atMs -> atMs <= START_MS + 10_000)
                .anyMatch(atMs -> atMs > reloadedAtMs);
    }

    @Test
    void aRequestAloneTakesTheTimeOfItsPasses() {
        BatchingPool pool = BatchingPool.ofOneKind(1, WHOLE_MODEL);
        BatchingPoolSimulation simulation = simulation(pool);
        simulation.addArrivals(0.1, START_MS, START_MS + 30_000);
        simulation.runUntil(START_MS + 90_000);

        RequestTrace trace = simulation.requests.get(0).trace;
        RequestSpec spec = trace.spec;
        PassTimes times = pool.times();
        int promptPasses = (spec.promptTokens() + times.maxPromptTokensPerStep() - 1) / times.maxPromptTokensPerStep();
        double expectedUs = times.promptUs(WHOLE_MODEL, spec.promptTokens(), 0, 1)
                + promptPasses * times.stepsUs(WHOLE_MODEL, 1, 1);
        assertThat(trace.firstTokenAtMs - spec.arrivedAtMs()).isCloseTo((long) expectedUs / 1_000, within(2L));
        for (int tokens = 1; tokens < spec.maxNewTokens(); tokens += times.stepsPerPass()) {
            expectedUs += times.stepsUs(WHOLE_MODEL, times.stepsPerPass(), 1)
                    + times.sequenceUs(WHOLE_MODEL, spec.promptTokens() + tokens, 1);
        }
        assertThat(trace.endedAtMs - spec.arrivedAtMs()).isCloseTo((long) expectedUs / 1_000, within(2L));
    }

    @Test
    void anEngineTakesNoMoreRequestsThanItsLimit() {
        BatchingPoolSimulation simulation = simulation(BatchingPool.ofOneKind(1, WHOLE_MODEL));
        simulation.addArrivals(20, START_MS, START_MS + 20_000);
        simulation.runUntil(START_MS);
        simulation.limitRequests("e0000", 2, 10_000);
        simulation.runUntil(START_MS + 10_000);
        // The limit allows a burst of one second.
        assertThat(simulation.engines.get("e0000").acceptedEntries).isBetween(15L, 22L);
        simulation.runUntil(START_MS + 60_000);
        assertThat(simulation.requests).anyMatch(ClientRequest::isInTime);
    }

    @Test
    void thePlotIsXmlWithALineForEachVariantInTwoPanels() throws Exception {
        String svg = PoolPlot.svg(List.of(
                run(PoolMeasurements.PRODUCT, LoadPattern.CALM, 1),
                run(PoolMeasurements.GREEDY_LAYOUT, LoadPattern.CALM, 1)));
        var document =
                DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(new InputSource(new StringReader(svg)));
        assertThat(document.getElementsByTagName("polyline").getLength()).isEqualTo(4);
    }

    private static BatchingPoolSimulation simulation(BatchingPool pool) {
        return new BatchingPoolSimulation(pool, PoolMeasurements.PRODUCT, Simulations.SEED);
    }

    private static PoolResult run(PoolVariant variant, LoadPattern pattern, long seed) {
        BatchingPoolSimulation simulation = new BatchingPoolSimulation(BatchingPool.create(39, 3, seed), variant, seed);
        return PoolMeasurements.run(
                simulation, "39", pattern, variant.name(), new PoolMeasurements.Load(39, 2_000, 6_000));
    }
}
