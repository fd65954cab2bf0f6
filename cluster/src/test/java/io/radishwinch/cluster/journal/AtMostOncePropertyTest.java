package io.radishwinch.cluster.journal;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.ShrinkingMode;

/**
 * Guards against a second run of a key under random schedules of resent requests, crashes, pauses, lost responses,
 * stale reads, outages and disagreement about the preferred writer.
 */
class AtMostOncePropertyTest {
    private static final int TRIES = 200;
    /** Number of schedules in each try. {@code -Dradishwinch.tries=10000} runs at least 10,000 schedules in total. */
    private static final int SCHEDULES_PER_TRY =
            Math.max(1, (Integer.getInteger("radishwinch.tries", TRIES) + TRIES - 1) / TRIES);

    @Provide
    Arbitrary<Long> seeds() {
        return Arbitraries.longs()
                .between(1, Integer.MAX_VALUE)
                .withDistribution(RandomDistribution.uniform())
                .withoutEdgeCases();
    }

    @Property(tries = TRIES, seed = "20", shrinking = ShrinkingMode.OFF)
    void everyKeyRunsAtMostOnceAndReplaysItsOutcome(@ForAll("seeds") long seed) {
        for (int i = 0; i < SCHEDULES_PER_TRY; i++) {
            long scheduleSeed = seed * SCHEDULES_PER_TRY + i;
            RandomSchedule schedule = new RandomSchedule(scheduleSeed);
            schedule.run();
            assertThat(schedule.violations())
                    .as("schedule of seed %d", scheduleSeed)
                    .isEmpty();
        }
    }
}
