package io.radishwinch.core.placement;

import java.util.OptionalLong;

/** Source of the fencing tokens in use, which the platform stores; read before each order. */
public interface FencingTokenSource {

    /** Returns the highest fencing token used for the endpoint so far, or empty while it is unknown. */
    OptionalLong highestUsedToken(String endpointId);
}
