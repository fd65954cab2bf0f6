package io.radishwinch.server.http;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Rank;

/**
 * Parsed headers of a request, with defaults of the caller's contract.
 *
 * @param requestId identifier assigned by the router
 * @param contract contract of the caller
 * @param rank rank of the request
 * @param arrivedAtMs time of arrival, in ms of the router's clock
 * @param deadlineMs time by which the response must be complete, in ms of the router's clock
 * @param traceparent W3C trace context, or null
 */
public record CallerRequest(
        String requestId, Contract contract, Rank rank, long arrivedAtMs, long deadlineMs, String traceparent) {}
