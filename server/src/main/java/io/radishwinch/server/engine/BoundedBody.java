package io.radishwinch.server.engine;

import io.radishwinch.server.Failures;
import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.streams.ReadStream;
import java.util.function.Consumer;

/** Response body of a service with a size limit. */
final class BoundedBody implements ReadStream<Buffer> {
    private final HttpClientResponse response;
    private final long maxBytes;
    private final Consumer<String> onFailure;
    private long receivedBytes;
    private boolean isEnded;
    private Throwable failure;
    private Handler<Buffer> handler;
    private Handler<Void> endHandler;
    private Handler<Throwable> exceptionHandler;

    BoundedBody(HttpClientResponse response, long maxBytes, Runnable onEnd, Consumer<String> onFailure) {
        this.response = response;
        this.maxBytes = maxBytes;
        this.onFailure = onFailure;
        response.exceptionHandler(
                cause -> onFailure.accept("connection failed during the response: " + Failures.describe(cause)));
        response.endHandler(ignored -> {
            if (failure == null) {
                isEnded = true;
                onEnd.run();
                if (endHandler != null) {
                    endHandler.handle(null);
                }
            }
        });
        response.handler(this::onChunk);
    }

    private void onChunk(Buffer chunk) {
        if (failure != null) {
            return;
        }
        receivedBytes += chunk.length();
        if (receivedBytes > maxBytes) {
            onFailure.accept("response body exceeds " + maxBytes + " bytes");
        } else if (handler != null) {
            handler.handle(chunk);
        }
    }

    void fail(Throwable cause) {
        if (isEnded || failure != null) {
            return;
        }
        failure = cause;
        if (exceptionHandler != null) {
            exceptionHandler.handle(cause);
        }
    }

    @Override
    public ReadStream<Buffer> exceptionHandler(Handler<Throwable> newHandler) {
        exceptionHandler = newHandler;
        if (newHandler != null && failure != null) {
            newHandler.handle(failure);
        }
        return this;
    }

    @Override
    public ReadStream<Buffer> handler(Handler<Buffer> newHandler) {
        handler = newHandler;
        return this;
    }

    @Override
    public ReadStream<Buffer> endHandler(Handler<Void> newHandler) {
        endHandler = newHandler;
        return this;
    }

    @Override
    public ReadStream<Buffer> pause() {
        response.pause();
        return this;
    }

    @Override
    public ReadStream<Buffer> resume() {
        response.resume();
        return this;
    }

    @Override
    public ReadStream<Buffer> fetch(long amount) {
        response.fetch(amount);
        return this;
    }
}
