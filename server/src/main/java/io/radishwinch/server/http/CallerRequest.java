package io.radishwinch.server.http;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Rank;

/**
 * What the headers of a request say.
 *
 * @param requestId identifier that the router gave
 * @param contract contract of the caller
 * @param rank urgency
 * @param arrivedAtMs time of arrival, in ms of the router's clock
 * @param deadlineMs time by which the answer must be complete, in ms of the router's clock
 * @param traceparent W3C trace context, or null
 */
public record CallerRequest(
        String requestId, Contract contract, Rank rank, long arrivedAtMs, long deadlineMs, String traceparent) {}
