package io.radishwinch.server.http;

/**
 * Origin of the response to a request.
 *
 * @param status HTTP status
 * @param endpointId endpoint, or router to which the request was relayed
 * @param connection connection and request on it, and whether the response names its request
 * @param surplusResponses responses to other requests that were dropped before the response
 */
public record ResponseOrigin(int status, String endpointId, String connection, int surplusResponses) {}
