package io.radishwinch.server.http;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;

/**
 * Reads a request body into memory, with limits on size, time and total memory.
 *
 * <p>Memory is reserved before it is allocated: at once for a body that states its length, and step by step for one
 * that does not. A body that is refused is not kept while the rest of it arrives.
 */
public final class BodyCollector {

    /** First reservation for a body that states no length, in bytes; each further one doubles it. */
    private static final int FIRST_RESERVATION_BYTES = 4 << 10;

    private static final int MEMORY_RETRY_AFTER_MS = 1_000;

    private final HttpServerRequest request;
    private final Vertx vertx;
    private final int maxBytes;
    private final MemoryBudget budget;
    private final Consumer<Either<Refusal, Buffer>> receiver;
    /** Bytes received so far, or null before the first reservation and after the end. */
    private Buffer body;

    private int reservedBytes;
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
        long declaredBytes = declaredLength();
        if (declaredBytes > maxBytes) {
            fail(tooLarge());
            return;
        }
        if (!tryReserve((int) Math.max(0, declaredBytes))) {
            fail(outOfMemory());
            return;
        }
        body = Buffer.buffer(reservedBytes);
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
        int neededBytes = body.length() + chunk.length();
        if (neededBytes > maxBytes) {
            fail(tooLarge());
        } else if (neededBytes > reservedBytes && !extend(neededBytes)) {
            fail(outOfMemory());
        } else {
            body.appendBuffer(chunk);
        }
    }

    /** Reserves and allocates more memory for a body that stated no length. */
    private boolean extend(int neededBytes) {
        int doubledBytes = Math.min(maxBytes, Math.max(FIRST_RESERVATION_BYTES, 2 * reservedBytes));
        if (!tryReserve(Math.max(neededBytes, doubledBytes) - reservedBytes)) {
            return false;
        }
        body = Buffer.buffer(reservedBytes).appendBuffer(body);
        return true;
    }

    private boolean tryReserve(int bytes) {
        boolean isReserved = budget.tryReserve(bytes, reservedBytes);
        reservedBytes += isReserved ? bytes : 0;
        return isReserved;
    }

    private void onEnd() {
        if (!isFinished) {
            isFinished = true;
            vertx.cancelTimer(timerId);
            Buffer received = body.length() == reservedBytes ? body : Buffer.buffer(body.getBytes());
            body = null;
            budget.release(reservedBytes - received.length());
            receiver.accept(Either.right(received));
        }
    }

    private void fail(Refusal refusal) {
        if (!isFinished) {
            isFinished = true;
            vertx.cancelTimer(timerId);
            body = null;
            budget.release(reservedBytes);
            receiver.accept(Either.left(refusal));
        }
    }

    private static Refusal outOfMemory() {
        return new Refusal(
                Reason.QUEUE_FULL,
                Verdict.NOT_RUN,
                "the memory limit for request bodies is reached",
                MEMORY_RETRY_AFTER_MS);
    }

    private Refusal tooLarge() {
        return Refusal.notRun(Reason.BODY_TOO_LARGE, "the body is larger than " + maxBytes + " bytes");
    }
}
