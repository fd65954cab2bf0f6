package io.radishwinch.server.engine;

/** The running stream of an attempt. Its methods may be called from any thread. */
public interface EngineStream {

    /** Stops reading from the engine. Events of data that was received already may still be delivered. */
    void pause();

    /** Continues reading after {@link #pause}. */
    void resume();

    /** Ends the stream without a further event and tells the engine to stop the attempt. */
    void cancel();

    /** Receiver of the events of one attempt; called on the Vert.x context that opened the stream. */
    @FunctionalInterface
    interface Receiver {
        /** Takes one event. */
        void handle(EngineEvent event);
    }
}
