package io.radishwinch.server.proxy;

import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * Dialect of tests: reads the request identifier, the connection header and a header that states that the request did
 * not run; all responses count as sealed, also those without a seal of their own.
 */
final class PlainDialect implements ProxyDialect {
    static final String REQUEST_ID = "X-Request-Id";
    private static final String NOT_RUN = "X-Not-Run";

    /** Seal of a response, which names its run. */
    private static final String SEAL = "X-Seal";

    /** Marks a response that another router made itself. */
    static final String UNSEALED = "X-Unsealed";

    @Override
    public Either<String, RequestHead> readRequest(MultiMap headers) {
        return Either.right(
                new RequestHead(requestId(headers), RequestHead.NONE, 1, 1, 1, List.of(), RequestHead.NONE));
    }

    @Override
    public String requestIdHeader() {
        return REQUEST_ID;
    }

    @Override
    public String requestId(MultiMap headers) {
        return headers.get(REQUEST_ID);
    }

    @Override
    public String credentials(MultiMap headers) {
        return headers.get("Authorization");
    }

    @Override
    public MultiMap toEndpointHeaders(MultiMap callerHeaders, ForwardingContext forwarding) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap().add(REQUEST_ID, requestId(callerHeaders));
        if (forwarding.resumeAfterEventId() != RequestHead.NONE) {
            headers.add("Last-Event-Id", Long.toString(forwarding.resumeAfterEventId()));
        }
        return headers;
    }

    @Override
    public MultiMap toPeerHeaders(MultiMap callerHeaders, long remainingMs, long resumeAfterEventId) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap()
                .add(REQUEST_ID, requestId(callerHeaders))
                .add("Host", callerHeaders.get("Host"));
        if (resumeAfterEventId != RequestHead.NONE) {
            headers.add("Last-Event-Id", Long.toString(resumeAfterEventId));
        }
        return headers;
    }

    @Override
    public ResponseHead readResponseHead(int status, MultiMap headers) {
        return new ResponseHead(
                status,
                headers.contains(NOT_RUN),
                headers.contains(UNSEALED)
                        ? Optional.empty()
                        : Optional.of(Objects.requireNonNullElse(headers.get(SEAL), "")),
                Optional.ofNullable(headers.get(REQUEST_ID)),
                Optional.empty(),
                0,
                "close".equalsIgnoreCase(headers.get("Connection")),
                OptionalDouble.empty(),
                false,
                0);
    }

    @Override
    public MultiMap toCallerHeaders(MultiMap endpointHeaders) {
        return io.radishwinch.server.engine.EndToEndHeaders.copy(endpointHeaders, Set.of());
    }

    @Override
    public void markRouterResponse(MultiMap headers, String requestId) {}
}
