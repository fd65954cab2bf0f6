package io.radishwinch.bench;

import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.CostChainPlanner;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.impl.TableDecisionCore;
import io.radishwinch.core.impl.TableDecisionCore.QueueFactory;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.placement.PlacementPlanner;
import io.radishwinch.core.queue.FifoQueue;
import io.radishwinch.core.queue.RankedFairQueue;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/** Creates simulations of the decision core and their arrivals. */
final class Simulations {
    static final long SEED = 7;
    static final int ENGINE_COUNT = 40;
    static final double MEAN_NEW_TOKENS = 149.5;
    static final double MEAN_PROMPT_TOKENS = 149.5;
    static final QueueFactory RANKED_QUEUE = RankedFairQueue::new;
    static final QueueFactory FIFO_QUEUE = (settings, entitlements, index) -> new FifoQueue(settings, index);
    static final BiFunction<EndpointTable, Long, ChainPlanner> COST_PLANNER = CostChainPlanner::new;

    private static final Limits UNRESTRICTED_LIMITS = new Limits(1e6, 1e9, 1_000_000);

    private Simulations() {}

    /** Returns a contract with limits that no simulation reaches and the given floor for every rank. */
    static Contract contract(String caller, double floorTokensPerS) {
        Map<Rank, RankTerms> ranks = new HashMap<>();
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new RankTerms(30_000, floorTokensPerS));
        }
        return new Contract(caller, List.of(), 1, UNRESTRICTED_LIMITS, ranks, Rank.INTERACTIVE, Set.of(), Set.of());
    }

    static FleetConfig fleetConfig(Contract... contracts) {
        Map<String, Contract> byCaller = new HashMap<>();
        for (Contract contract : contracts) {
            byCaller.put(contract.caller(), contract);
        }
        return new FleetConfig(1, byCaller, Map.of(EnginePool.MODEL.name(), EnginePool.MODEL), Map.of());
    }

    static EnginePool pool() {
        return new EnginePool(ENGINE_COUNT, SEED, ENGINE_COUNT - 1);
    }

    static EngineSimulation simulation(
            EnginePool pool,
            BiFunction<EndpointTable, Long, ChainPlanner> planner,
            QueueFactory queues,
            CoreSettings settings,
            PlacementPlanner placement,
            FleetConfig config) {
        EndpointTable table = new EndpointTable();
        TableEndpointDirectory directory = new TableEndpointDirectory(table, HealthSettings.defaults(), placement);
        TableDecisionCore core = TableDecisionCore.create(settings, directory, planner.apply(table, SEED), queues);
        return new EngineSimulation(pool, core, config, SEED);
    }

    static EngineSimulation simulation(FleetConfig config, QueueFactory queues) {
        return simulation(pool(), COST_PLANNER, queues, CoreSettings.defaults(), null, config);
    }

    /** Returns the throughput bound of the pool, after enough ticks to complete its estimate. */
    static double throughputBoundTokensPerS(EngineSimulation simulation) {
        for (int i = 0; i < 500; i++) {
            simulation.core.handle(new Event.Tick(), simulation.nowMs);
        }
        return simulation.core.view().pools().get(0).boundTokensPerS();
    }

    /** Adds Poisson arrivals of a caller and returns their number. */
    static long addArrivals(
            EngineSimulation simulation,
            String caller,
            Rank rank,
            double tokensPerS,
            long fromMs,
            long toMs,
            long timeoutMs) {
        SplittableRandom random = new SplittableRandom(SEED + caller.hashCode() * 31L + rank.ordinal());
        double atMs = fromMs;
        long count = 0;
        while (true) {
            atMs -= Math.log(1 - random.nextDouble()) * 1_000 * MEAN_NEW_TOKENS / tokensPerS;
            if (atMs >= toMs) {
                return count;
            }
            String id = caller + "-" + rank.ordinal() + "-" + fromMs + "-" + count++;
            int promptTokens = 50 + random.nextInt(200);
            int newTokens = 50 + random.nextInt(200);
            simulation.addArrival(new RequestSpec(
                    id,
                    caller,
                    rank,
                    EnginePool.MODEL.name(),
                    promptTokens,
                    newTokens,
                    (long) atMs,
                    (long) atMs + timeoutMs,
                    id,
                    List.of(),
                    true));
        }
    }
}
