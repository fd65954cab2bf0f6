package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second surge after a surge is refused for lack of capacity: callers that retry at the same time, or
 * too late to meet their deadline.
 */
class RetryAfterPolicyTest {
    private final RetryAfterPolicy policy = new RetryAfterPolicy(2_000, 5_000, 1);

    private static RequestSpec request(long deadlineMs) {
        return new RequestSpec("r", "a", Rank.BATCH, "m", 1, 1, 0, deadlineMs, "f", List.of(), true);
    }

    @Test
    void callersRefusedTogetherGetDifferentRetryAfterTimes() {
        Set<Long> waits = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            long waitMs = policy.waitMs(request(20_000), 0);
            assertThat(waitMs).isBetween(2_000L, 5_000L);
            waits.add(waitMs);
        }
        assertThat(waits).hasSizeGreaterThan(100);
    }

    @Test
    void noRetryAfterExceedsAThirdOfTheRemainingTime() {
        for (int i = 0; i < 200; i++) {
            assertThat(policy.waitMs(request(1_500), 0)).isBetween(1L, 500L);
        }
        assertThat(policy.waitMs(request(1_000), 1_000)).isZero();
    }
}
