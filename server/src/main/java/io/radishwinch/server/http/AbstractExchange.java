package io.radishwinch.server.http;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Exchange;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;

/** Common parts of the exchanges; all state belongs to one traffic thread. */
public abstract class AbstractExchange<S extends ExchangeScope> implements Exchange {
    private static final long NO_TIMER = -1;

    /** What the exchanges of this traffic thread share. */
    protected final S shared;

    /** The request. */
    protected final RequestSpec request;

    /** The answer to the caller. */
    protected final HttpServerResponse response;

    /** What was delivered so far. */
    protected final Delivery delivery;

    private final long reservedBytes;
    private boolean finished;
    private long writeTimer = NO_TIMER;

    /**
     * Creates an exchange.
     *
     * @param reservedBytes memory of the request body, given back at the end
     */
    protected AbstractExchange(S shared, RequestSpec request, HttpServerRequest httpRequest, long reservedBytes) {
        this.shared = shared;
        this.request = request;
        this.response = httpRequest.response();
        this.delivery = new Delivery(request.arrivedAtMs());
        this.reservedBytes = reservedBytes;
        response.closeHandler(ignored -> callerGone());
        response.exceptionHandler(ignored -> callerGone());
    }

    /** Hands the request to the decision core. */
    public final void arrive() {
        shared.control().submit(request, this);
    }

    @Override
    public final void start(Action.StartAttempt attempt) {
        onTrafficThread(() -> {
            if (!finished) {
                delivery.attemptStarted();
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
            if (!finished) {
                refuseRequest(new Refusal(
                        refusal.reason(), refusal.verdict(), Messages.of(refusal.reason()), refusal.retryAfterMs()));
            }
        });
    }

    @Override
    public final void complete() {
        onTrafficThread(() -> {
            if (!finished) {
                completeAnswer();
            }
        });
    }

    /** Sends the request to the head of a chain. */
    protected abstract void startAttempt(Action.StartAttempt attempt);

    /** Stops an attempt and reports its end to the core. */
    protected abstract void cancelAttempt(int epoch, Reason reason);

    /** Frees what the exchange holds at endpoints. */
    protected abstract void release();

    /** Ends the answer. */
    protected abstract void completeAnswer();

    /** Answers with an error. */
    protected void refuseRequest(Refusal refusal) {
        finish(Optional.of(refusal));
        ErrorAnswer.send(response, request.requestId(), refusal);
    }

    /** Ends the exchange without the core: the core is told that the request is withdrawn. */
    protected final void withdraw(Optional<Refusal> refusal) {
        if (!finished) {
            finish(refusal);
            shared.control().withdraw(request.requestId());
        }
    }

    /** Returns whether the caller was answered or has gone. */
    protected final boolean isFinished() {
        return finished;
    }

    /** Ends the exchange after the core has decided its outcome. */
    protected final void finish(Optional<Refusal> refusal) {
        if (!finished) {
            finished = true;
            cancelWriteTimer();
            release();
            shared.bodies().release(reservedBytes);
            shared.listener().finished(request, delivery, refusal);
        }
    }

    /** Runs a task on the traffic thread of this exchange. */
    protected final void onTrafficThread(Runnable task) {
        shared.context().runOnContext(ignored -> task.run());
    }

    /** Reports an event to the core. */
    protected final void post(Event event) {
        shared.control().post(event);
    }

    /** Starts the timer that closes the connection of a caller that does not read its answer. */
    protected final void startWriteTimer() {
        if (writeTimer == NO_TIMER) {
            writeTimer = shared.vertx().setTimer(shared.writeTimeoutMs(), ignored -> {
                withdraw(Optional.of(
                        new Refusal(Reason.SLOW_READER, Verdict.MAY_HAVE_RUN, Messages.of(Reason.SLOW_READER), 0)));
                response.reset();
            });
        }
    }

    /** Stops the timer that {@link #startWriteTimer} started. */
    protected final void cancelWriteTimer() {
        if (writeTimer != NO_TIMER) {
            shared.vertx().cancelTimer(writeTimer);
            writeTimer = NO_TIMER;
        }
    }

    private void callerGone() {
        Verdict verdict = delivery.attempts() == 0 ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        withdraw(Optional.of(
                new Refusal(Reason.CALLER_DISCONNECTED, verdict, Messages.of(Reason.CALLER_DISCONNECTED), 0)));
    }
}
