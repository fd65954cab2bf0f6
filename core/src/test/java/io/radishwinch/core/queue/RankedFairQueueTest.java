package io.radishwinch.core.queue;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RequestSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against unfair shares, missed floors, floods that fill the queue, and polls that scan the whole queue. */
class RankedFairQueueTest {

    private static final int MAX_COST = 500;

    private final Map<String, Double> weights = new HashMap<>();
    private final Map<String, Double> floors = new HashMap<>();
    private final List<RequestSpec> displaced = new ArrayList<>();
    private long nextId;

    private RankedFairQueue queue(int capacity) {
        Entitlements entitlements = new Entitlements() {
            @Override
            public double weight(String caller) {
                return weights.getOrDefault(caller, 1.0);
            }

            @Override
            public double floorTokensPerS(String caller, Rank rank) {
                return floors.getOrDefault(caller + rank.ordinal(), 0.0);
            }
        };
        return new RankedFairQueue(
                QueueSettings.defaults().withCapacity(capacity), entitlements, new DeadlineIndex(request -> 0));
    }

    private RequestSpec request(String caller, Rank rank, int cost) {
        return new RequestSpec("r" + nextId++, caller, rank, "m", 0, cost, 0, 1_000_000, "f", List.of(), true);
    }

    @Property(seed = "31", tries = 100)
    void sharesOfBackloggedCallersDifferByAtMostTheBoundOfStartTimeFairQueueing(@ForAll long seed) {
        Random random = new Random(seed);
        RankedFairQueue queue = queue(10_000);
        Map<String, Double> served = new HashMap<>();
        for (String caller : List.of("a", "b", "c")) {
            weights.put(caller, 1.0 + random.nextInt(5));
            served.put(caller, 0.0);
            for (int n = 0; n < 300; n++) {
                assertThat(queue.offer(
                                request(caller, Rank.INTERACTIVE, 1 + random.nextInt(MAX_COST)), 0, displaced::add))
                        .isTrue();
            }
        }
        for (int n = 0; n < 250; n++) {
            RequestSpec next = queue.poll(request -> true, n).orElseThrow();
            served.merge(next.caller(), next.costTokens() / weights.get(next.caller()), Double::sum);
            for (String a : weights.keySet()) {
                for (String b : weights.keySet()) {
                    // Theorem 1 of Goyal et al.: the largest cost divided by the weight, summed over both callers.
                    double bound = MAX_COST / weights.get(a) + MAX_COST / weights.get(b);
                    assertThat(Math.abs(served.get(a) - served.get(b))).isLessThanOrEqualTo(bound);
                }
            }
        }
    }

    @Property(seed = "32", tries = 50)
    void everyFloorIsKeptWhileTheFloorsFitTheCapacity(@ForAll long seed) {
        Random random = new Random(seed);
        RankedFairQueue queue = queue(10_000);
        double capacityTokensPerS = 10_000;
        Map<String, Double> served = new HashMap<>();
        for (Rank rank : Rank.values()) {
            for (String caller : List.of("a", "b", "c")) {
                // Nine floors with a sum of at most 0.9 of the capacity.
                floors.put(caller + rank.ordinal(), random.nextInt(10) * capacityTokensPerS * 0.01 + 1);
                refill(queue, caller, rank, random);
            }
        }
        double freeAtMs = 0;
        while (freeAtMs < 60_000) {
            RequestSpec next = queue.poll(request -> true, (long) freeAtMs).orElseThrow();
            freeAtMs += next.costTokens() / capacityTokensPerS * 1_000;
            served.merge(next.caller() + next.rank().ordinal(), (double) next.costTokens(), Double::sum);
            refill(queue, next.caller(), next.rank(), random);
            queue.correctCharge(next, next.costTokens());
        }
        floors.forEach((key, floor) ->
                assertThat(served.getOrDefault(key, 0.0) + MAX_COST).isGreaterThanOrEqualTo(0.95 * floor * 60));
    }

    private void refill(RankedFairQueue queue, String caller, Rank rank, Random random) {
        queue.offer(request(caller, rank, 1 + random.nextInt(MAX_COST)), 0, displaced::add);
        queue.offer(request(caller, rank, 1 + random.nextInt(MAX_COST)), 0, displaced::add);
    }

    @Test
    void floodsOfOneCallerAndOfOneRankLeaveCapacityForOthers() {
        RankedFairQueue queue = queue(1_000);
        int accepted = 0;
        for (int n = 0; n < 5_000; n++) {
            accepted += queue.offer(request("flood", Rank.BATCH, 10), 0, displaced::add) ? 1 : 0;
        }
        assertThat(accepted).isLessThanOrEqualTo(500);
        for (int caller = 0; caller < 50; caller++) {
            for (int n = 0; n < 100; n++) {
                queue.offer(request("flood" + caller, Rank.BATCH, 10), 0, displaced::add);
            }
        }
        assertThat(queue.size()).isLessThanOrEqualTo(600);
        assertThat(queue.offer(request("small", Rank.INTERACTIVE, 10), 0, displaced::add))
                .isTrue();
        assertThat(queue.offer(request("small", Rank.BATCH, 10), 0, displaced::add))
                .isTrue();
        assertThat(displaced).isNotEmpty().noneMatch(request -> request.caller().equals("small"));
        assertThat(queue.size()).isLessThanOrEqualTo(601);
    }

    @Test
    void aPollTriesOneRequestPerRankAndPoolAtAnyQueueLength() {
        RankedFairQueue queue = queue(10_000);
        for (int n = 0; n < 3_000; n++) {
            queue.offer(request("c" + n % 30, Rank.values()[n % 3], 10), 0, displaced::add);
        }
        int[] tried = {0};
        assertThat(queue.poll(request -> tried[0]++ < 0, 0)).isEmpty();
        assertThat(tried[0]).isEqualTo(3);
    }

    @Test
    void requeuedRequestsRunBeforeTheirCallersOtherRequestsAndAreChargedOnce() {
        RankedFairQueue queue = queue(100);
        RequestSpec first = request("a", Rank.BATCH, 100);
        RequestSpec second = request("a", Rank.BATCH, 100);
        queue.offer(first, 0, displaced::add);
        queue.offer(second, 0, displaced::add);
        queue.offer(request("b", Rank.BATCH, 100), 0, displaced::add);
        assertThat(queue.poll(request -> true, 0)).contains(first);
        queue.requeue(first, 0);
        assertThat(queue.poll(request -> true, 0).orElseThrow().caller()).isEqualTo("b");
        assertThat(queue.poll(request -> true, 0)).contains(first);
        assertThat(queue.poll(request -> true, 0)).contains(second);
    }
}
