package io.radishwinch.standins;

/**
 * An event of an attempt at the engine of its first stage.
 *
 * @param atMs wall clock, in ms since the epoch
 * @param endpoint identifier of the engine
 * @param requestId identifier that the router gave the request
 * @param epoch number of the attempt within the request
 * @param prompt prompt as the engine received it
 * @param kind what happened
 */
public record AttemptEvent(long atMs, String endpoint, String requestId, int epoch, String prompt, Kind kind) {
    /** Kind of an event. */
    public enum Kind {
        /** The engine has read the attempt. */
        ARRIVED,
        /** The engine has refused the attempt as not run. */
        REFUSED,
        /** The engine has run the first step of the attempt. */
        STARTED,
        /** The engine has generated the last token. */
        COMPLETED,
        /** The attempt is over, for whatever reason. */
        ENDED
    }
}
