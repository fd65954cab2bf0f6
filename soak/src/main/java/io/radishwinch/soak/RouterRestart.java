package io.radishwinch.soak;

/**
 * Restart of a router.
 *
 * @param router identifier of the router
 * @param killedAtMs wall clock just before the kill, in ms since the epoch
 * @param listensAtMs wall clock when the next process listened, in ms since the epoch
 */
public record RouterRestart(String router, long killedAtMs, long listensAtMs) {

    /** Returns whether the router of a request was down at some time while the request ran. */
    public boolean overlaps(CallerRecord request) {
        return router.equals(request.router())
                && request.sentAtMs() <= listensAtMs
                && request.endedAtMs() >= killedAtMs;
    }
}
