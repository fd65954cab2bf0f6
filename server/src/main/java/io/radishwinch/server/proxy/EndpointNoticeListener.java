package io.radishwinch.server.proxy;

/** Receives what endpoints announce about themselves in their responses. Implementations are thread-safe. */
public interface EndpointNoticeListener {

    /** Listener that ignores all notices. */
    EndpointNoticeListener NONE = new EndpointNoticeListener() {
        @Override
        public void leaving(String endpointId) {}

        @Override
        public void paused(String endpointId, long pauseMs) {}

        @Override
        public boolean isPaused(String endpointId) {
            return false;
        }
    };

    /** Called for each response in which an endpoint announces that it leaves. */
    void leaving(String endpointId);

    /**
     * Called for each response in which an endpoint refuses a request and asks this router for a pause.
     *
     * @param pauseMs length of the pause, in ms
     */
    void paused(String endpointId, long pauseMs);

    /** Returns whether a pause that an endpoint asked for is not over. */
    boolean isPaused(String endpointId);
}
