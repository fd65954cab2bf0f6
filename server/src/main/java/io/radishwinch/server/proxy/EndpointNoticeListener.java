package io.radishwinch.server.proxy;

/** Receives what endpoints announce about themselves in their responses. Implementations are thread-safe. */
public interface EndpointNoticeListener {

    /** Called for each response in which an endpoint announces that it leaves. */
    void leaving(String endpointId);
}
