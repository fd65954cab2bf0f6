package io.radishwinch.server.engine;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;

/** Opens requests of HTTP clients. */
public final class HttpRequests {
    private HttpRequests() {}

    /**
     * Opens a request. A client that is closed fails the returned future like an endpoint that cannot be reached; the
     * client itself throws, and the call would end only with its timeout.
     */
    public static Future<HttpClientRequest> open(HttpClient client, RequestOptions options) {
        try {
            return client.request(options);
        } catch (IllegalStateException e) {
            return Future.failedFuture(e);
        }
    }
}
