package io.radishwinch.server.http;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Exchange;
import io.radishwinch.server.InternalErrors;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import java.util.Optional;

/** Base class of the exchanges between a caller and endpoints. Confined to one traffic thread. */
public abstract class AbstractExchange<S extends ExchangeScope> implements Exchange {
    private static final long NO_TIMER = -1;

    /** Error code of HTTP/2, RFC 9113 section 7. Some clients take a reset with the code NO_ERROR for a normal end. */
    private static final long HTTP2_INTERNAL_ERROR = 0x2;

    /** State and services shared by the exchanges of this traffic thread. */
    protected final S shared;

    /** The request. */
    protected final RequestSpec request;

    /** The response to the caller. */
    protected final HttpServerResponse response;

    /** Statistics of what was delivered so far. */
    protected final DeliveryStats delivery;

    private final HttpVersion httpVersion;
    private final long reservedBytes;
    private boolean isFinished;
    private long writeTimerId = NO_TIMER;

    /**
     * Creates an exchange.
     *
     * @param reservedBytes memory reserved for the request body, in bytes; released when the exchange ends
     */
    protected AbstractExchange(S shared, RequestSpec request, HttpServerRequest httpRequest, long reservedBytes) {
        this.shared = shared;
        this.request = request;
        this.response = httpRequest.response();
        this.httpVersion = httpRequest.version();
        this.delivery = new DeliveryStats(request.arrivedAtMs());
        this.reservedBytes = reservedBytes;
        response.closeHandler(ignored -> guard(this::onCallerDisconnected));
        response.exceptionHandler(ignored -> guard(this::onCallerDisconnected));
    }

    /** Submits the request to the decision core. */
    public final void submit() {
        shared.control().submit(request, this);
    }

    @Override
    public final void start(Action.StartAttempt attempt) {
        onTrafficThread(() -> {
            if (!isFinished) {
                delivery.recordAttempt();
                startAttempt(attempt);
            }
        });
    }

    @Override
    public final void cancel(Action.CancelAttempt attempt) {
        onTrafficThread(() -> cancelAttempt(attempt.epoch(), attempt.reason()));
    }

    @Override
    public final void refuse(Action.Refuse refusal) {
        onTrafficThread(() -> {
            if (!isFinished) {
                refuseRequest(new Refusal(
                        refusal.reason(),
                        refusal.verdict(),
                        ErrorMessages.of(refusal.reason()),
                        refusal.retryAfterMs()));
            }
        });
    }

    @Override
    public final void complete() {
        onTrafficThread(() -> {
            if (!isFinished) {
                completeResponse();
            }
        });
    }

    /** Sends the request to the first stage of a chain. */
    protected abstract void startAttempt(Action.StartAttempt attempt);

    /** Cancels an attempt and reports its end to the core. */
    protected abstract void cancelAttempt(int epoch, Reason reason);

    /** Cancels the call to the endpoint and releases what the exchange holds there. */
    protected abstract void releaseEndpoint();

    /** Reports the end of an attempt that still runs when the exchange ends without a complete response. */
    protected void reportAbandoned(Reason reason) {}

    /** Sends the rest of the response and ends it. */
    protected abstract void completeResponse();

    /** Ends the exchange with an error response, or breaks off the response if its head was already sent. */
    protected void refuseRequest(Refusal refusal) {
        finish(Optional.of(refusal));
        if (response.headWritten()) {
            abortResponse(refusal.reason());
        } else {
            sendRefusal(refusal);
        }
    }

    /**
     * Breaks off a response whose head was already sent, so that the caller does not take it for complete. A response
     * that is {@linkplain #isDelimitedByClose delimited by close} must have a length.
     */
    protected final void abortResponse(Reason reason) {
        reportCut(reason, ResponseCut.Origin.ROUTER, progress());
        response.reset(HTTP2_INTERNAL_ERROR);
    }

    /** Ends the exchange and breaks off its response, whose rest cannot be obtained from another endpoint. */
    protected final void abort(Reason reason) {
        withdraw(Optional.of(new Refusal(reason, Verdict.MAY_HAVE_RUN, ErrorMessages.of(reason), 0)));
        abortResponse(reason);
    }

    /** Reports a complete response to the scope, and as cut if its connection ends before it is written. */
    protected final void reportUnwritten(Future<Void> written) {
        shared.responseEnded(written);
        written.onFailure(ignored -> observe(() -> shared.listener()
                .responseCut(ResponseCut.unwritten(request.requestId(), Reason.CALLER_DISCONNECTED, response))));
    }

    private ResponseCut.Progress progress() {
        return response.headWritten() ? ResponseCut.Progress.STARTED : ResponseCut.Progress.NOT_STARTED;
    }

    private void reportCut(Reason reason, ResponseCut.Origin origin, ResponseCut.Progress progress) {
        observe(() -> shared.listener()
                .responseCut(new ResponseCut(request.requestId(), reason, origin, progress, response.bytesWritten())));
    }

    /**
     * Returns whether a response without a length ends with its connection, as in HTTP/1.0. Vert.x resets a response of
     * HTTP/1 by closing the connection, so a caller cannot tell that such a response broke off.
     */
    protected final boolean isDelimitedByClose() {
        return httpVersion == HttpVersion.HTTP_1_0;
    }

    /** Ends the exchange without a decision of the core and withdraws the request from the core. */
    protected final void withdraw(Optional<Refusal> refusal) {
        if (!isFinished) {
            try {
                finish(refusal);
            } finally {
                shared.control().withdraw(request.requestId());
            }
        }
    }

    /** Returns whether the exchange has ended, by a response or because the caller disconnected. */
    protected final boolean isFinished() {
        return isFinished;
    }

    /** Ends the exchange and reports its outcome to the listener. Does not notify the core. */
    protected final void finish(Optional<Refusal> refusal) {
        if (!isFinished) {
            isFinished = true;
            cancelWriteTimer();
            refusal.ifPresent(end -> reportAbandoned(end.reason()));
            try {
                releaseEndpoint();
            } finally {
                shared.bodyMemory().release(reservedBytes);
                observe(() -> shared.listener().finished(request, delivery, refusal));
            }
        }
    }

    /** Runs a task on the traffic thread of this exchange. */
    protected final void onTrafficThread(Runnable task) {
        shared.context().runOnContext(ignored -> guard(task));
    }

    /**
     * Runs a part of this exchange. An exception ends the exchange with an error, so that neither its caller nor the
     * core waits for an event that no longer follows.
     */
    protected final void guard(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            shared.control().errors().report(InternalErrors.Part.EXCHANGE, request.requestId(), e);
            endAfterInternalError();
        }
    }

    /** Tells an observer something; its exceptions do not affect the exchange. */
    protected final void observe(Runnable observer) {
        shared.control().errors().observe(request.requestId(), observer);
    }

    private void endAfterInternalError() {
        Refusal refusal =
                new Refusal(Reason.INTERNAL_ERROR, attemptsVerdict(), ErrorMessages.of(Reason.INTERNAL_ERROR), 0);
        runOrReport(() -> withdraw(Optional.of(refusal)));
        runOrReport(this::abandonAttempt);
        if (!runOrReport(() -> endResponse(refusal))) {
            response.reset(HTTP2_INTERNAL_ERROR);
        }
    }

    private void endResponse(Refusal refusal) {
        if (response.ended() || response.closed()) {
            return;
        }
        if (response.headWritten()) {
            abortResponse(refusal.reason());
        } else {
            // Headers of a response that could not be sent.
            response.headers().clear();
            sendRefusal(refusal);
        }
    }

    private boolean runOrReport(Runnable task) {
        try {
            task.run();
            return true;
        } catch (RuntimeException | Error e) {
            shared.control().errors().report(InternalErrors.Part.EXCHANGE, request.requestId(), e);
            return false;
        }
    }

    /** Ends what the exchange still has open at an endpoint or in the journal after an internal error. */
    protected void abandonAttempt() {}

    private Verdict attemptsVerdict() {
        return delivery.attempts() == 0 ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    /** Sends an error response; called before the head of a response is sent. */
    protected void sendRefusal(Refusal refusal) {
        reportUnwritten(ErrorResponse.send(response, request.requestId(), refusal));
    }

    /** Reports an event to the core. */
    protected final void post(Event event) {
        shared.control().post(event);
    }

    /** Starts the timer that resets the connection of a caller that does not read its response. */
    protected final void startWriteTimer() {
        if (writeTimerId == NO_TIMER) {
            writeTimerId =
                    shared.vertx().setTimer(shared.writeTimeoutMs(), ignored -> guard(() -> abort(Reason.SLOW_READER)));
        }
    }

    /** Stops the timer that {@link #startWriteTimer} started. */
    protected final void cancelWriteTimer() {
        if (writeTimerId != NO_TIMER) {
            shared.vertx().cancelTimer(writeTimerId);
            writeTimerId = NO_TIMER;
        }
    }

    private void onCallerDisconnected() {
        if (!isFinished) {
            reportCut(Reason.CALLER_DISCONNECTED, ResponseCut.Origin.CALLER, progress());
        }
        withdraw(Optional.of(new Refusal(
                Reason.CALLER_DISCONNECTED, attemptsVerdict(), ErrorMessages.of(Reason.CALLER_DISCONNECTED), 0)));
    }
}
