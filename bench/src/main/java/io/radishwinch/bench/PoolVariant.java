package io.radishwinch.bench;

import io.radishwinch.core.chain.ChainPlanner;
import io.radishwinch.core.chain.EndpointTable;
import io.radishwinch.core.placement.Layout;
import java.util.function.BiFunction;

/**
 * Strategies of the core that are compared on a pool.
 *
 * @param name name in figures
 * @param layout strategy that assigns the first layers of engines
 * @param planner creates the chain planner from an endpoint table and a seed
 */
record PoolVariant(String name, Layout layout, BiFunction<EndpointTable, Long, ChainPlanner> planner) {}
