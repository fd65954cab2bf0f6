package io.radishwinch.bench;

import io.radishwinch.bench.Figure.Target;

/** Targets of docs/design.md; the numbers in parentheses are its sections. */
final class Targets {
    /** Delivered throughput relative to the throughput bound (1.3). */
    static final Target THROUGHPUT_SHARE = Target.atLeast(0.95);
    /** Time to the first token for 95% of the responses, in ms (1.3). */
    static final Target FIRST_TOKEN_MS = Target.atMost(1_400);
    /** Time between tokens for 95% of the responses, in ms (1.3). */
    static final Target TOKEN_INTERVAL_MS = Target.atMost(60);
    /** Within-deadline service retained by interactive work and by small callers in a surge (1.3). */
    static final Target RETAINED_SHARE = Target.atLeast(0.99);
    /** Service of the other ranks relative to their contracted floors in a surge (1.3). */
    static final Target FLOOR_SHARE = Target.atLeast(0.95);
    /** Retries relative to the load in a total outage (1.3). */
    static final Target RETRY_SHARE = Target.atMost(0.10);
    /** Median of the added latency, in ms (1.3). */
    static final Target ADDED_MEDIAN_MS = Target.atMost(1);
    /** 99th percentile of the added latency, in ms (1.3). */
    static final Target ADDED_P99_MS = Target.atMost(5);
    /** Request rate of the load measurement, in requests/s (1.3). */
    static final Target LOAD_REQUESTS_PER_S = Target.atLeast(300);
    /** Token rate of the load measurement, in tokens/s (1.3). */
    static final Target LOAD_TOKENS_PER_S = Target.atLeast(20_000);
    /** 99th percentile of the time of a routing decision at 480 endpoints, in us (1.3). */
    static final Target DECISION_P99_US = Target.atMost(50);
    /** Growth of the decision time from 480 to 5,800 endpoints, at most in proportion to their number (1.3). */
    static final Target DECISION_GROWTH = Target.atMost(5_800.0 / 480);
    /** Number of endpoints that one router loses to a request that crashes endpoints (6). */
    static final Target ENDPOINTS_LOST = Target.atMost(2);
    /** Time until a leaving endpoint receives no new work, in ms (1.2, invariant 5). */
    static final Target LEAVING_MS = Target.atMost(3_000);
    /** Time until a configuration is in effect at all routers, in ms (1.2, invariant 7). */
    static final Target CONFIGURATION_MS = Target.atMost(16_000);
    /** Time until a failed router is removed, in ms (3.3). */
    static final Target DETECTION_MS = Target.atMost(5_000);
    /** Deviation of the admitted load from the limit; the same bound as in the tests of the cluster module. */
    static final Target LIMIT_ERROR = Target.atMost(0.10);
    /** Time until shares follow demand, in ms; the same bound as in the tests of the cluster module. */
    static final Target CONVERGENCE_MS = Target.atMost(3_000);
    /** Control traffic of a node, in bytes/s (1.6). */
    static final Target CONTROL_BYTES_PER_S = Target.atMost(3_000);
    /** CPU use of control work, as a share of a core (1.6). */
    static final Target CONTROL_CORE_SHARE = Target.atMost(0.036);
    /** Platform writes of all routers, in writes/s (1.4, less the reserve of {@code CallRates}). */
    static final Target PLATFORM_WRITES_PER_S = Target.atMost(240);

    private Targets() {}
}
