package io.radishwinch.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Reason;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against failing endpoints that are not ejected, and against the ejection of most endpoints of a pool. */
class EndpointHealthTest {

    private final Map<String, Double> layerTimesUs = new HashMap<>();
    private final EndpointHealth health = createHealth(9);

    private EndpointHealth createHealth(int size) {
        layerTimesUs.clear();
        EndpointHealth health = new EndpointHealth(HealthSettings.defaults(), new HealthView() {
            @Override
            public Collection<String> poolsOf(String endpointId) {
                return List.of("m");
            }

            @Override
            public Collection<String> membersOf(String pool) {
                return layerTimesUs.keySet();
            }

            @Override
            public boolean isCoveredWithout(String pool, String endpointId) {
                return true;
            }

            @Override
            public String kindOf(String endpointId) {
                return "k";
            }

            @Override
            public double layerTimeUs(String endpointId) {
                return layerTimesUs.get(endpointId);
            }
        });
        for (int i = 0; i < size; i++) {
            layerTimesUs.put("e" + i, 500.0);
            health.add("e" + i, 0);
        }
        return health;
    }

    @Property(seed = "41", tries = 100)
    void atMostAThirdOfAPoolIsEjected(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int size) {
        EndpointHealth pool = createHealth(size);
        SplittableRandom random = new SplittableRandom(seed);
        for (long nowMs = 0; nowMs < 60_000; nowMs += 100) {
            String id = "e" + random.nextInt(size);
            pool.recordFailure(id, random.nextBoolean() ? Reason.STAGE_DIED : Reason.ENDPOINT_TIMEOUT, nowMs);
            layerTimesUs.put("e" + random.nextInt(size), random.nextInt(10) < 3 ? 6_000.0 : 500.0);
            if (nowMs % 1_000 == 0) {
                pool.tick(nowMs);
            }
            long ejected =
                    layerTimesUs.keySet().stream().filter(pool::isEjected).count();
            assertThat(ejected * 3).isLessThanOrEqualTo(size);
        }
    }

    @Test
    void anEjectedEndpointIsReadmittedInStepsAndAFailureEjectsItForLonger() {
        for (int i = 0; i < 3; i++) {
            health.recordFailure("e0", Reason.STAGE_DIED, 1_000);
        }
        assertThat(health.weight("e0", 1_000)).isZero();
        double last = 0;
        for (long nowMs = 6_000; nowMs <= 9_000; nowMs += 3_000) {
            health.tick(nowMs);
            assertThat(health.weight("e0", nowMs)).isGreaterThan(last).isLessThan(1);
            last = health.weight("e0", nowMs);
        }
        health.recordFailure("e0", Reason.STAGE_DIED, 9_500);
        health.tick(15_000);
        assertThat(health.weight("e0", 15_000)).isZero();
        for (long nowMs = 20_000; nowMs <= 32_000; nowMs += 1_000) {
            health.tick(nowMs);
        }
        assertThat(health.weight("e0", 32_000)).isEqualTo(1);
    }

    @Test
    void aSuccessBetweenFailuresPreventsEjection() {
        for (int i = 0; i < 10; i++) {
            health.recordFailure("e0", Reason.STAGE_DIED, i);
            health.recordFailure("e0", Reason.ENDPOINT_TIMEOUT, i);
            health.recordSuccess("e0");
        }
        assertThat(health.weight("e0", 10)).isEqualTo(1);
    }

    @Test
    void aSlowEndpointIsReadmittedOnlyAfterItsLayerTimeRecovers() {
        layerTimesUs.put("e0", 5_000.0);
        for (long nowMs = 0; nowMs <= 20_000; nowMs += 1_000) {
            health.tick(nowMs);
        }
        assertThat(health.isEjected("e0")).isTrue();
        layerTimesUs.put("e0", 500.0);
        health.tick(21_000);
        assertThat(health.weight("e0", 21_000)).isPositive();
    }

    @Test
    void anEndpointThatJoinsAfterRouterStartUpIsInSlowStart() {
        layerTimesUs.put("new", 500.0);
        health.add("new", 60_000);
        assertThat(health.weight("new", 60_000)).isEqualTo(0.1);
        assertThat(health.weight("new", 67_500)).isEqualTo(0.5);
        assertThat(health.weight("new", 75_000)).isEqualTo(1);
    }
}
