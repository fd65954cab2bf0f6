package io.radishwinch.server.http;

import io.radishwinch.server.engine.ServiceClient;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;

/** Response of a plain service. A small body is buffered in memory; a large one is streamed to the caller. */
final class ServiceResponse {
    private final ServiceClient.Response head;
    private final Consumer<Runnable> guard;
    private final Buffer body = Buffer.buffer();
    private boolean isLarge;
    private boolean isDiscarded;
    private Runnable largeHandler = () -> {};
    private Runnable endHandler = () -> {};
    private Consumer<Throwable> failureHandler = error -> {};

    /**
     * Creates a response that is not read yet.
     *
     * @param guard runs the handlers of the body, whose exceptions it handles
     */
    ServiceResponse(ServiceClient.Response head, Consumer<Runnable> guard) {
        this.head = head;
        this.guard = guard;
    }

    int status() {
        return head.status();
    }

    MultiMap headers() {
        return head.headers();
    }

    /** Returns the buffered part of the body: all of it, unless the response is large. */
    Buffer body() {
        return body;
    }

    /** Returns the response in the form that the journal stores. */
    StoredResponse toStored() {
        String contentType = head.headers().get(HttpHeaders.CONTENT_TYPE);
        return StoredResponse.of(head.status(), contentType == null ? "" : contentType, body.getBytes());
    }

    /**
     * Sets the handler that runs when the body exceeds {@link StoredResponse#MAX_BODY_BYTES}. Reading is paused before
     * the handler runs.
     */
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
            if (!isDiscarded) {
                guard.accept(() -> failureHandler.accept(error));
            }
        });
        head.body().endHandler(ignored -> {
            if (!isDiscarded) {
                guard.accept(endHandler);
            }
        });
        head.body().handler(chunk -> guard.accept(() -> collect(chunk)));
        head.body().resume();
    }

    private void collect(Buffer chunk) {
        body.appendBuffer(chunk);
        if (!isLarge && body.length() > StoredResponse.MAX_BODY_BYTES) {
            isLarge = true;
            head.body().pause();
            largeHandler.run();
        }
    }

    /** Writes the buffered part of the body, then the rest at the speed at which the caller reads. */
    void streamTo(HttpServerResponse response, Runnable whenFull, Runnable whenDrained) {
        response.write(body.copy());
        head.body()
                .handler(chunk -> guard.accept(() -> {
                    response.write(chunk);
                    if (response.writeQueueFull()) {
                        head.body().pause();
                        whenFull.run();
                        response.drainHandler(ignored -> guard.accept(() -> {
                            whenDrained.run();
                            head.body().resume();
                        }));
                    }
                }));
        head.body().resume();
    }

    /** Reads and drops the rest of the body, so that the connection can be reused. */
    void discard() {
        isDiscarded = true;
        head.body().handler(ignored -> {});
        head.body().resume();
    }
}
