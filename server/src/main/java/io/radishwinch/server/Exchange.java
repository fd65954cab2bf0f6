package io.radishwinch.server;

import io.radishwinch.core.action.Action;

/**
 * A caller's request and its response. Methods are called on the control thread and must not block; implementations
 * pass the work to the traffic thread that serves the caller.
 */
public interface Exchange {

    /** Starts an attempt. */
    void start(Action.StartAttempt attempt);

    /** Cancels an attempt; tokens that arrive later must not reach the caller. */
    void cancel(Action.CancelAttempt attempt);

    /** Sends an error response to the caller; no further call follows. */
    void refuse(Action.Refuse refusal);

    /** Relays the request to another router, if one takes it; the exchange then withdraws it if it has not done so. */
    default void relay() {}

    /** Completes the response; no further call follows. */
    void complete();
}
