package io.radishwinch.server.engine;

/** Stream of an attempt. Methods may be called from any thread. */
public interface EngineStream {

    /** Stops reading from the engine. Events of data already received may still be delivered. */
    void pause();

    /** Continues reading after {@link #pause}. */
    void resume();

    /** Ends the stream without a further event and cancels the attempt at the engine. */
    void cancel();

    /** Receiver of the events of one attempt; called on the Vert.x context that opened the stream. */
    @FunctionalInterface
    interface Receiver {
        /** Handles an event. */
        void handle(EngineEvent event);
    }
}
