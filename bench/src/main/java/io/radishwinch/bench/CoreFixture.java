package io.radishwinch.bench;

import io.radishwinch.core.DecisionCore;
import io.radishwinch.core.chain.CostChainPlanner;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.chain.TableEndpointDirectory;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.health.HealthSettings;
import io.radishwinch.core.impl.CoreSettings;
import io.radishwinch.core.impl.TableDecisionCore;
import io.radishwinch.core.model.FleetConfig;

/** A decision core as the router builds it, without placement, to which all endpoints of a pool have been added. */
final class CoreFixture {
    final EnginePool pool;
    final DecisionCore core;

    CoreFixture(EnginePool pool, FleetConfig config) {
        this.pool = pool;
        EndpointTable table = new EndpointTable();
        TableEndpointDirectory directory = new TableEndpointDirectory(table, HealthSettings.defaults(), null);
        core = TableDecisionCore.create(
                CoreSettings.defaults(), directory, new CostChainPlanner(table, Simulations.SEED));
        core.handle(new Event.ConfigChanged(config), 0);
        pool.specs.forEach(spec -> core.handle(new Event.EndpointJoined(spec), 0));
        reportIdleLoad(0);
        pool.links.forEach(link -> core.handle(link, 0));
    }

    /** Delivers a load report without load from other routers for every endpoint. */
    void reportIdleLoad(long nowMs) {
        for (int i = 0; i < pool.size(); i++) {
            core.handle(new Event.LoadReported(pool.loadReport(i, 0, 0, nowMs)), nowMs);
        }
    }
}
