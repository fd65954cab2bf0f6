package io.radishwinch.cluster.platform;

/** Receives the events of a platform client, for counters. All methods do nothing by default. */
public interface PlatformListener {

    /** Listener that ignores all events. */
    PlatformListener NONE = new PlatformListener() {};

    /** Called when a call is made, including retries. */
    default void onCall(boolean isWrite) {}

    /** Called when a call failed. */
    default void onFailure(PlatformException.Kind kind) {}

    /** Called when a call was rejected because it waited too long for the budget or the queue was full. */
    default void onBudgetExceeded(boolean isWrite) {}

    /** Called when a call is retried. */
    default void onRetry() {}

    /** Called when the effect of a write with a lost response became known. */
    default void onLostResponseResolved() {}

    /** Called when the circuit opened: calls fail immediately until a probe succeeds. */
    default void onCircuitOpened() {}

    /** Called when a probe succeeded and the circuit closed. */
    default void onCircuitClosed() {}
}
