package io.radishwinch.server;

import io.radishwinch.core.action.Action;

/**
 * A caller's request as the control loop sees it. Methods are called on the control thread and must not block; they
 * pass the work on to the traffic thread that serves the caller.
 */
public interface Exchange {

    /** Starts an attempt. */
    void start(Action.StartAttempt attempt);

    /** Cancels an attempt; its late answers must not reach the caller. */
    void cancel(Action.CancelAttempt attempt);

    /** Answers the caller with an error; no further call follows. */
    void refuse(Action.Refuse refusal);

    /** Ends the answer; no further call follows. */
    void complete();
}
