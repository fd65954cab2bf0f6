package io.radishwinch.server.http;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/** Reads a request body into memory, with limits on size, time and total memory. */
public final class BodyCollector {
    private final HttpServerRequest request;
    private final Vertx vertx;
    private final int maxBytes;
    private final MemoryBudget budget;
    private final Consumer<Either<Refusal, Buffer>> receiver;
    private final Buffer body = Buffer.buffer();
    private long timerId;
    private boolean isFinished;

    private BodyCollector(
            Vertx vertx,
            HttpServerRequest request,
            int maxBytes,
            MemoryBudget budget,
            Consumer<Either<Refusal, Buffer>> receiver) {
        this.vertx = vertx;
        this.request = request;
        this.maxBytes = maxBytes;
        this.budget = budget;
        this.receiver = receiver;
    }

    /**
     * Starts to read the body of a request.
     *
     * @param maxBytes maximum size of the body, in bytes
     * @param timeoutMs maximum time for the body to arrive, in ms
     * @param budget memory budget of all request bodies; the receiver of a body must release the size of the body
     * @param receiver called once with the body or the reason of the failure, on the context of the request
     */
    public static void collect(
            Vertx vertx,
            HttpServerRequest request,
            int maxBytes,
            long timeoutMs,
            MemoryBudget budget,
            Consumer<Either<Refusal, Buffer>> receiver) {
        new BodyCollector(vertx, request, maxBytes, budget, receiver).start(timeoutMs);
    }

    private void start(long timeoutMs) {
        if (declaredLength() > maxBytes) {
            fail(tooLarge());
            return;
        }
        timerId = vertx.setTimer(
                timeoutMs,
                id -> fail(Refusal.notRun(Reason.SLOW_SENDER, "the body did not arrive within " + timeoutMs + " ms")));
        request.exceptionHandler(error ->
                fail(Refusal.notRun(Reason.CALLER_DISCONNECTED, "the connection closed before the body was complete")));
        request.handler(this::append);
        request.endHandler(ignored -> onEnd());
    }

    private long declaredLength() {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private void append(Buffer chunk) {
        if (isFinished) {
            return;
        }
        if (body.length() + chunk.length() > maxBytes) {
            fail(tooLarge());
        } else if (!budget.tryReserve(chunk.length())) {
            fail(new Refusal(
                    Reason.QUEUE_FULL, Verdict.NOT_RUN, "the memory limit for request bodies is reached", 1000));
        } else {
            body.appendBuffer(chunk);
        }
    }

    private void onEnd() {
        if (!isFinished) {
            isFinished = true;
            vertx.cancelTimer(timerId);
            receiver.accept(Either.right(body));
        }
    }

    private void fail(Refusal refusal) {
        if (!isFinished) {
            isFinished = true;
            vertx.cancelTimer(timerId);
            budget.release(body.length());
            receiver.accept(Either.left(refusal));
        }
    }

    private Refusal tooLarge() {
        return Refusal.notRun(Reason.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
    }
}
