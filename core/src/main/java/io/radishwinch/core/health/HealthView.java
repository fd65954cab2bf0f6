package io.radishwinch.core.health;

import java.util.Collection;

/** Read-only view of the endpoint table for {@link EndpointHealth}. */
public interface HealthView {

    /** Returns the names of the pools of which the endpoint holds layers. */
    Collection<String> poolsOf(String endpointId);

    /** Returns the identifiers of the endpoints that hold layers of the pool and are not removed or leaving. */
    Collection<String> membersOf(String pool);

    /** Returns whether usable endpoints other than the given one hold every layer of the pool. */
    boolean isCoveredWithout(String pool, String endpointId);

    /** Returns the kind of accelerator of the endpoint. */
    String kindOf(String endpointId);

    /** Returns the measured time of one layer for one token in us, or 0 without a measurement. */
    double layerTimeUs(String endpointId);
}
