package io.radishwinch.standins;

/** Receives what happens to the attempts at an engine. */
@FunctionalInterface
public interface AttemptObserver {
    /** Handles an event; must not block, because it is called on the event loop of the engine. */
    void onEvent(AttemptEvent event);
}
