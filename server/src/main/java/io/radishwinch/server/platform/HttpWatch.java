package io.radishwinch.server.platform;

import io.radishwinch.cluster.platform.PlatformClient;
import io.radishwinch.cluster.platform.PlatformException;
import io.radishwinch.server.engine.ClientOptions;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.HttpRequests;
import io.radishwinch.server.engine.LineSplitter;
import io.radishwinch.server.engine.MalformedLineException;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.function.ToLongFunction;

/** Reads the changes of one watch and emits them, with back-pressure from the subscriber. */
final class HttpWatch {
    private static final int HTTP_OK = 200;
    private static final int HTTP_GONE = 410;

    private final Vertx vertx;
    private final Context context;
    private final EndpointAddress platform;
    private final String uri;
    private final ClientOptions options;
    private final MultiEmitter<? super PlatformClient.Change> emitter;
    private final LineSplitter splitter;
    private final ToLongFunction<String> eraReader;
    private long era;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean isEnded;
    private boolean hasReceivedData;
    private long inactivityTimerId = -1;

    /**
     * Creates a watch.
     *
     * @param eraReader returns the era that the header of the response names, or throws a {@link PlatformException} if
     *     the watch cannot go on in it
     */
    HttpWatch(
            Vertx vertx,
            EndpointAddress platform,
            String uri,
            int maxLineBytes,
            ClientOptions options,
            MultiEmitter<? super PlatformClient.Change> emitter,
            ToLongFunction<String> eraReader) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.platform = platform;
        this.uri = uri;
        this.options = options;
        this.emitter = emitter;
        this.eraReader = eraReader;
        this.splitter = new LineSplitter(maxLineBytes, this::onLine);
    }

    void start(HttpClient client) {
        emitter.onTermination(() -> context.runOnContext(ignored -> close()));
        emitter.onRequest(count -> context.runOnContext(ignored -> {
            if (response != null && !isEnded) {
                response.resume();
            }
        }));
        context.runOnContext(ignored -> open(client));
    }

    private void open(HttpClient client) {
        if (isEnded) {
            return;
        }
        inactivityTimerId = vertx.setPeriodic(options.idleTimeoutMs(), id -> {
            boolean isPaused = response != null && emitter.requested() == 0;
            if (!hasReceivedData && !isPaused) {
                fail(PlatformException.Kind.NO_EFFECT, "no data received for " + options.idleTimeoutMs() + " ms", null);
            }
            hasReceivedData = false;
        });
        RequestOptions target = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(platform.host())
                .setPort(platform.port())
                .setURI(uri);
        HttpRequests.open(client, target)
                .onFailure(cause -> fail(PlatformException.Kind.NO_EFFECT, "connect failed", cause))
                .onSuccess(opened -> {
                    if (isEnded) {
                        opened.reset();
                        return;
                    }
                    request = opened;
                    opened.exceptionHandler(
                            cause -> fail(PlatformException.Kind.NO_EFFECT, "connection failed", cause));
                    opened.response()
                            .onSuccess(this::onResponse)
                            .onFailure(cause -> fail(PlatformException.Kind.NO_EFFECT, "connection failed", cause));
                    opened.end();
                });
    }

    private void onResponse(HttpClientResponse received) {
        if (isEnded) {
            return;
        }
        hasReceivedData = true;
        received.exceptionHandler(cause -> fail(PlatformException.Kind.NO_EFFECT, "connection failed", cause));
        if (received.statusCode() != HTTP_OK) {
            fail(
                    received.statusCode() == HTTP_GONE
                            ? PlatformException.Kind.HISTORY_EXPIRED
                            : PlatformException.Kind.NO_EFFECT,
                    "platform responded with status " + received.statusCode(),
                    null);
            return;
        }
        try {
            era = eraReader.applyAsLong(received.getHeader(HttpPlatformClient.ERA_HEADER));
        } catch (PlatformException e) {
            fail(e.kind(), e.getMessage(), e);
            return;
        } catch (IllegalArgumentException e) {
            fail(PlatformException.Kind.NO_EFFECT, e.getMessage(), e);
            return;
        }
        response = received;
        received.endHandler(ignored -> fail(PlatformException.Kind.NO_EFFECT, "the platform ended the watch", null));
        received.handler(chunk -> {
            hasReceivedData = true;
            try {
                splitter.accept(chunk);
            } catch (MalformedLineException e) {
                fail(PlatformException.Kind.NO_EFFECT, e.getMessage(), e);
            }
            if (!isEnded && emitter.requested() == 0) {
                received.pause();
            }
        });
    }

    private boolean onLine(byte[] bytes, int offset, int length) throws MalformedLineException {
        PlatformClient.Change change;
        try {
            change = PlatformJson.parseChange(bytes, offset, length, era);
        } catch (IOException e) {
            throw new MalformedLineException("malformed change: " + e.getMessage(), e);
        }
        emitter.emit(change);
        return !isEnded;
    }

    private void fail(PlatformException.Kind kind, String message, Throwable cause) {
        if (!isEnded) {
            close();
            emitter.fail(new PlatformException(kind, message, cause));
        }
    }

    private void close() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        vertx.cancelTimer(inactivityTimerId);
        if (request != null) {
            request.reset();
        }
    }
}
