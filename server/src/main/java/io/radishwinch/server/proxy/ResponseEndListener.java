package io.radishwinch.server.proxy;

/** Receives how the response to each attempt ended. Called on traffic threads. */
@FunctionalInterface
public interface ResponseEndListener {

    /** Called when the response of an endpoint has ended, except if the endpoint stated that it did not run it. */
    void responseEnded(String requestId, ResponseEnd end);
}
