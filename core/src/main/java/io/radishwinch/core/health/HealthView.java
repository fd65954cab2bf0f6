package io.radishwinch.core.health;

import java.util.Collection;

/** What {@link EndpointHealth} needs to know of the endpoint table. */
public interface HealthView {

    /** Returns the pools of which the endpoint holds layers. */
    Collection<String> poolsOf(String endpointId);

    /** Returns the endpoints that hold layers of the pool and are neither gone nor leaving. */
    Collection<String> membersOf(String pool);

    /** Returns whether usable endpoints other than the given one hold every layer of the pool. */
    boolean isCoveredWithout(String pool, String endpointId);

    /** Returns the kind of accelerator. */
    String kindOf(String endpointId);

    /** Returns the measured time of one layer for one token, in us. */
    double layerTimeUs(String endpointId);
}
