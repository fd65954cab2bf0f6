package io.radishwinch.server.proxy;

/** Receiver of notices in tests whose endpoints announce nothing. */
class NoNotices implements EndpointNoticeListener {

    @Override
    public void leaving(String endpointId) {}

    @Override
    public void paused(String endpointId, long pauseMs) {}

    @Override
    public boolean isPaused(String endpointId) {
        return false;
    }
}
