package io.radishwinch.cluster.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against call budgets whose sum over all routers exceeds the rates of the platform. */
class CallBudgetTest {
    private static final int SHARDS = 16;
    private static final int PLATFORM_WRITES_PER_S = 300;
    private static final int PLATFORM_READS_PER_S = 2_000;
    private static final int MEASURED_S = 20;

    private final VirtualScheduler scheduler = new VirtualScheduler(0);

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 360})
    void theBudgetsOfAllRoutersStayBelowThePlatformsRates(int routers) {
        int[] calls = new int[2];
        for (int router = 0; router < routers; router++) {
            int owned = 0;
            for (int shard = 0; shard < SHARDS; shard++) {
                owned += shard % routers == router ? 1 : 0;
            }
            CallBudget budget = new CallBudget(scheduler, CallRates.share(routers, SHARDS, owned));
            // Each router always has another call of each kind queued.
            for (int kind = 0; kind < calls.length; kind++) {
                callRepeatedly(budget, kind, calls);
            }
        }
        scheduler.advance(MEASURED_S * 1_000);
        assertThat(calls[0] / MEASURED_S).isBetween(PLATFORM_READS_PER_S / 2, PLATFORM_READS_PER_S);
        assertThat(calls[1] / MEASURED_S).isBetween(PLATFORM_WRITES_PER_S / 2, PLATFORM_WRITES_PER_S);
    }

    private void callRepeatedly(CallBudget budget, int kind, int[] calls) {
        budget.runWhenAllowed(
                kind == 1,
                CallPriority.NORMAL,
                Long.MAX_VALUE / 2,
                () -> {
                    calls[kind]++;
                    scheduler.schedule(0, () -> callRepeatedly(budget, kind, calls));
                },
                () -> {});
    }

    @Test
    void anUrgentCallIsMadeBeforeOthersThatWaitLonger() {
        CallBudget budget = new CallBudget(scheduler, new CallRates(1, 1));
        List<CallPriority> order = new ArrayList<>();
        for (CallPriority priority :
                List.of(CallPriority.NORMAL, CallPriority.BACKGROUND, CallPriority.NORMAL, CallPriority.URGENT)) {
            budget.runWhenAllowed(true, priority, 60_000, () -> order.add(priority), () -> {});
        }
        scheduler.advance(10_000);
        assertThat(order)
                .containsExactly(
                        CallPriority.NORMAL, CallPriority.URGENT, CallPriority.NORMAL, CallPriority.BACKGROUND);
    }

    @Test
    void aPendingWatchUsesUpOneReadPerSecond() {
        CallBudget budget = new CallBudget(scheduler, new CallRates(3, 3));
        budget.onWatchStarted();
        int[] calls = new int[2];
        callRepeatedly(budget, 0, calls);
        scheduler.advance(100_000);
        assertThat(calls[0]).isBetween(200, 201);
        budget.onWatchEnded();
        scheduler.advance(100_000);
        assertThat(calls[0]).isBetween(499, 501);
    }

    @Test
    void aCallThatWaitsTooLongIsRejectedAndNeverMade() {
        CallBudget budget = new CallBudget(scheduler, new CallRates(0.1, 0.1));
        List<String> events = new ArrayList<>();
        budget.runWhenAllowed(true, CallPriority.URGENT, 1_000, () -> events.add("first made"), () -> {});
        budget.runWhenAllowed(true, CallPriority.URGENT, 1_000, () -> events.add("made"), () -> events.add("refused"));
        scheduler.advance(60_000);
        assertThat(events).containsExactly("first made", "refused");
    }
}
