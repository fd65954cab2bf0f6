package io.radishwinch.server.http;

import io.radishwinch.server.engine.ServiceClient;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;

/** Answer of a plain service: collected in memory while small, then streamed. */
final class ServiceAnswer {
    private final ServiceClient.Response head;
    private final Buffer body = Buffer.buffer();
    private boolean large;
    private boolean discarded;
    private Runnable largeHandler = () -> {};
    private Runnable endHandler = () -> {};
    private Consumer<Throwable> failureHandler = error -> {};

    ServiceAnswer(ServiceClient.Response head) {
        this.head = head;
    }

    int status() {
        return head.status();
    }

    MultiMap headers() {
        return head.headers();
    }

    /** Returns what was collected; the whole body unless the answer is large. */
    Buffer body() {
        return body;
    }

    /** Returns the answer as the journal keeps it. */
    StoredAnswer toStored() {
        String contentType = head.headers().get(HttpHeaders.CONTENT_TYPE);
        return StoredAnswer.of(head.status(), contentType == null ? "" : contentType, body.getBytes());
    }

    /** Sets what happens when the answer turns out to be large; reading pauses then. */
    void onLarge(Runnable handler) {
        largeHandler = handler;
    }

    void onEnd(Runnable handler) {
        endHandler = handler;
    }

    void onFailure(Consumer<Throwable> handler) {
        failureHandler = handler;
    }

    void read() {
        head.body().exceptionHandler(error -> {
            if (!discarded) {
                failureHandler.accept(error);
            }
        });
        head.body().endHandler(ignored -> {
            if (!discarded) {
                endHandler.run();
            }
        });
        head.body().handler(this::collect);
        head.body().resume();
    }

    private void collect(Buffer chunk) {
        body.appendBuffer(chunk);
        if (!large && body.length() > StoredAnswer.MAX_BODY_BYTES) {
            large = true;
            head.body().pause();
            largeHandler.run();
        }
    }

    /** Writes what was collected and then the rest as fast as the caller reads it. */
    void streamTo(HttpServerResponse response, Runnable whenFull, Runnable whenDrained) {
        response.write(body.copy());
        head.body().handler(chunk -> {
            response.write(chunk);
            if (response.writeQueueFull()) {
                head.body().pause();
                whenFull.run();
                response.drainHandler(ignored -> {
                    whenDrained.run();
                    head.body().resume();
                });
            }
        });
        head.body().resume();
    }

    /** Reads the rest without keeping it, so that the connection can be used again. */
    void discard() {
        discarded = true;
        head.body().handler(ignored -> {});
        head.body().resume();
    }
}
