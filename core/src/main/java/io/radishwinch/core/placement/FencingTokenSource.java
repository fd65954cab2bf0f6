package io.radishwinch.core.placement;

import java.util.OptionalLong;

/** Source of fencing numbers; the numbers are kept by the platform and read again before an order. */
public interface FencingTokenSource {

    /** Returns the highest number used for the endpoint so far, or empty while it is not known. */
    OptionalLong highestUsedToken(String endpointId);
}
