package io.radishwinch.server.proxy;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;

/** Names and meaning of the headers between callers, this router and endpoints; safe for use by several threads. */
public interface ProxyDialect {

    /** Returns what a request head says, or what is wrong with it. */
    Either<String, RequestHead> readRequest(MultiMap headers);

    /** Returns the identifier of a request by its headers, or an empty string. */
    String requestId(MultiMap headers);

    /** Returns the value of the header that carries the caller's key, or null. */
    String credentials(MultiMap headers);

    /** Returns the headers towards an endpoint. */
    MultiMap toEndpointHeaders(MultiMap callerHeaders, ForwardingContext forwarding);

    /** Returns what the head of an answer says. */
    ResponseHead readResponseHead(HttpClientResponse response);

    /** Returns the headers of an endpoint's answer towards the caller, without those of one connection. */
    MultiMap toCallerHeaders(MultiMap endpointHeaders);

    /** Marks an answer of the router itself as belonging to a request. */
    void markRouterResponse(MultiMap headers, String requestId);
}
