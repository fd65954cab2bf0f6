package io.radishwinch.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that cannot resume because earlier failures, other callers or unstarted requests used up the
 * retry budget, and against routers that together exceed the limit.
 */
class SharedRetryBudgetTest {
    private static final DeploymentRetryLimit LIMIT = new DeploymentRetryLimit(0.2, 200, 10_000);
    private static final String[] CALLERS = {"a", "b", "c", "d"};

    private static RetryBudget budget(int routers) {
        RetryBudget budget = RetrySettings.defaults().withDeploymentLimit(LIMIT).newBudget();
        budget.setRouterCount(routers, 0);
        return budget;
    }

    private static int granted(RetryBudget budget, int attempts, boolean hasStarted, long nowMs) {
        int granted = 0;
        for (int i = 0; i < attempts; i++) {
            granted += budget.tryWithdraw(CALLERS[i % CALLERS.length], "m", hasStarted, nowMs) ? 1 : 0;
        }
        return granted;
    }

    @Test
    void streamsOfASecondLostEngineResumeLikeThoseOfTheFirst() {
        RetryBudget budget = budget(8);
        int first = granted(budget, 50, true, 1_000);
        int second = granted(budget, 50, true, 12_000);
        assertThat(first).isGreaterThanOrEqualTo(20);
        assertThat(second).isEqualTo(first);
    }

    @Test
    void unstartedRequestsLeaveRetriesForStartedStreams() {
        RetryBudget budget = budget(8);
        int unstarted = granted(budget, 100, false, 1_000);
        assertThat(unstarted).isPositive();
        assertThat(granted(budget, 100, true, 1_000)).isPositive();
        assertThat(granted(budget, 100, false, 1_000)).isZero();
    }

    @Test
    void oneCallerCannotUseAllRetries() {
        RetryBudget budget = budget(8);
        int alone = 0;
        while (budget.tryWithdraw("greedy", "m", true, 1_000)) {
            alone++;
        }
        assertThat(granted(budget, 100, true, 1_000)).isGreaterThanOrEqualTo(alone - 1);
    }

    @Test
    void onlyLoadProportionalRetriesAreGrantedBeforeTheRouterCountIsKnown() {
        RetryBudget budget = RetrySettings.defaults().withDeploymentLimit(LIMIT).newBudget();
        assertThat(granted(budget, 100, true, 1_000)).isZero();
        for (int i = 0; i < 100; i++) {
            budget.recordFirstAttempt("a", "m", 1_000);
        }
        assertThat(granted(budget, 100, true, 1_000)).isBetween(1, 20);
    }

    @Test
    void recentlyLostRoutersKeepTheirShare() {
        RetryBudget budget = budget(8);
        int before = granted(budget, 100, true, 1_000);
        budget.setRouterCount(2, 2_000);
        assertThat(granted(budget, 100, true, 15_000)).isEqualTo(before);
    }

    @Property(tries = 200, seed = "7")
    void allRoutersTogetherKeepTheLimitInEveryWindow(
            @ForAll @IntRange(min = 1, max = 70) int routers, @ForAll @IntRange(min = 0, max = 40) int firstPerS) {
        int retries = 0;
        RetryBudget budget = budget(routers);
        for (int s = 0; s < 10; s++) {
            for (int i = 0; i < firstPerS; i++) {
                budget.recordFirstAttempt(CALLERS[i % CALLERS.length], "m", s * 1_000);
            }
            retries += granted(budget, 400, true, s * 1_000);
        }
        double firstAttempts = 10.0 * firstPerS * routers;
        assertThat((double) retries * routers)
                .isLessThanOrEqualTo(LIMIT.ratio() * firstAttempts + Math.max(LIMIT.reserve(), 0));
    }
}
