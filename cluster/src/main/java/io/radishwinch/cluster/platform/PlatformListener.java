package io.radishwinch.cluster.platform;

/** Receives what a platform client counts. All methods do nothing by default. */
public interface PlatformListener {

    /** A listener that ignores everything. */
    PlatformListener NONE = new PlatformListener() {};

    /** A call was made; retries count again. */
    default void onCall(boolean isWrite) {}

    /** A call failed. */
    default void onFailure(PlatformException.Kind kind) {}

    /** A call was refused because its time in the queue of the budget ran out or the queue was full. */
    default void onBudgetExceeded(boolean isWrite) {}

    /** A call is repeated. */
    default void onRetry() {}

    /** The effect of a write whose answer was lost became known. */
    default void onLostResponseResolved() {}

    /** The circuit opened: calls fail at once until a probe succeeds. */
    default void onCircuitOpened() {}

    /** A probe succeeded and calls are made again. */
    default void onCircuitClosed() {}
}
