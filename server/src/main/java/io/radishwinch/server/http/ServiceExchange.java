package io.radishwinch.server.http;

import io.radishwinch.cluster.journal.Journal.Decision;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.EndpointException;
import io.radishwinch.server.engine.ServiceClient;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;

/**
 * One call of a plain service. A small answer is read whole before it is passed on, so that a failure in the middle can
 * be retried; a large one is streamed. The outcome of a non-repeatable call is recorded before the caller sees any of
 * it.
 */
final class ServiceExchange extends AbstractExchange<ExchangeContext> {
    private static final String REPLAYED_HEADER = "X-Radishwinch-Replayed";

    private final Call call;
    private Decision.Granted grant;
    private boolean sent;
    private int epoch;
    private String endpointId = "";
    private ServiceClient.Exchange inFlight;
    private ServiceAnswer answer;
    private ServiceAnswer streamed;

    ServiceExchange(ExchangeContext shared, RequestSpec request, Call call, HttpServerRequest httpRequest) {
        super(shared, request, httpRequest, call.body().length());
        this.call = call;
    }

    /**
     * A call to pass on.
     *
     * @param method method
     * @param uri path behind the service name, and query
     * @param headers headers of the caller
     * @param body body
     * @param idempotencyKey key of the caller, or null
     * @param fingerprint hash of method, path and body
     */
    record Call(
            HttpMethod method, String uri, MultiMap headers, Buffer body, String idempotencyKey, byte[] fingerprint) {}

    @Override
    protected void startAttempt(Action.StartAttempt attempt) {
        epoch = attempt.epoch();
        endpointId = attempt.chain().firstStage().endpointId();
        EndpointAddress address = shared.endpoints().address(endpointId);
        if (address == null) {
            fail(epoch, endpointId, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
        } else if (request.isRepeatable() || grant != null) {
            send(attempt, address);
        } else {
            shared.journal()
                    .begin(
                            shared.context(),
                            request.caller(),
                            call.idempotencyKey(),
                            call.fingerprint(),
                            decision -> decided(attempt, address, decision));
        }
    }

    private void decided(Action.StartAttempt attempt, EndpointAddress address, Decision decision) {
        if (decision instanceof Decision.Granted granted) {
            grant = granted;
            if (isFinished() || attempt.epoch() != epoch) {
                releaseGrant();
            } else if (shared.control().nowMs() >= attempt.deadlineMs()) {
                // A process that was paused may wake with its grant long after the caller has given up.
                releaseGrant();
                fail(attempt.epoch(), endpointId, Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN);
            } else {
                send(attempt, address);
            }
        } else if (!isFinished()) {
            answerWithoutRun(decision);
        }
    }

    private void answerWithoutRun(Decision decision) {
        if (decision instanceof Decision.Replay replay) {
            replay(StoredAnswer.decode(replay.outcome()));
        } else if (decision instanceof Decision.InProgress) {
            endWith(new Refusal(Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN, Messages.of(Reason.IN_PROGRESS), 1000));
        } else if (decision instanceof Decision.OutcomeUnknown) {
            endWith(new Refusal(Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, Messages.of(Reason.OUTCOME_UNKNOWN), 0));
        } else if (decision instanceof Decision.KeyReused) {
            endWith(Refusal.notRun(Reason.KEY_REUSED, Messages.of(Reason.KEY_REUSED)));
        } else {
            endWith(new Refusal(
                    Reason.PLATFORM_UNAVAILABLE, Verdict.NOT_RUN, Messages.of(Reason.PLATFORM_UNAVAILABLE), 2000));
        }
    }

    private void endWith(Refusal refusal) {
        withdraw(Optional.of(refusal));
        ErrorAnswer.send(response, request.requestId(), refusal);
    }

    private void replay(StoredAnswer stored) {
        if (!stored.isKnown()) {
            answerWithoutRun(new Decision.OutcomeUnknown());
            return;
        }
        if (!stored.stored()) {
            endWith(new Refusal(Reason.OUTCOME_NOT_STORED, Verdict.RAN, Messages.of(Reason.OUTCOME_NOT_STORED), 0));
            return;
        }
        delivery.replayed();
        withdraw(Optional.empty());
        response.setStatusCode(stored.status())
                .putHeader("X-Request-Id", request.requestId())
                .putHeader(REPLAYED_HEADER, "true");
        if (!stored.contentType().isEmpty()) {
            response.putHeader(HttpHeaders.CONTENT_TYPE, stored.contentType());
        }
        response.end(Buffer.buffer(stored.body()));
    }

    private void send(Action.StartAttempt attempt, EndpointAddress address) {
        int attemptEpoch = attempt.epoch();
        sent = true;
        post(new Event.AttemptStarted(request.requestId(), attemptEpoch));
        ServiceClient.Call outgoing = new ServiceClient.Call(
                address,
                call.method(),
                call.uri(),
                ServiceHeaders.towardsService(call.headers(), request.requestId()),
                new ServiceClient.Body.Buffered(call.body()),
                attempt.deadlineMs());
        // On a kept connection that breaks it cannot be known whether the call ran.
        inFlight = shared.services().call(request.isRepeatable() ? outgoing : outgoing.withNewConnection());
        inFlight.response()
                .onComplete(
                        head -> readBody(attemptEpoch, address, head), error -> failed(attemptEpoch, address, error));
    }

    private void readBody(int attemptEpoch, EndpointAddress address, ServiceClient.Response head) {
        if (attemptEpoch != epoch) {
            head.body().exceptionHandler(ignored -> {}).handler(ignored -> {}).resume();
            return;
        }
        ServiceAnswer newAnswer = new ServiceAnswer(head);
        newAnswer.onFailure(error -> {
            if (newAnswer == streamed) {
                abort(error);
            } else {
                failed(attemptEpoch, address, error);
            }
        });
        newAnswer.onLarge(() -> record(newAnswer, () -> beginStream(newAnswer)));
        newAnswer.onEnd(() -> {
            if (newAnswer == streamed) {
                post(new Event.AttemptFinished(request.requestId(), epoch, 0));
            } else {
                record(newAnswer, () -> deliver(newAnswer));
            }
        });
        newAnswer.read();
    }

    /** Records the outcome of a non-repeatable call before the caller sees anything of it. */
    private void record(ServiceAnswer newAnswer, Runnable next) {
        if (grant == null) {
            next.run();
        } else {
            shared.journal()
                    .complete(shared.context(), grant, newAnswer.toStored().encode(), recorded -> next.run());
        }
    }

    /** The core is told even if the caller has gone, because a non-repeatable call runs on without its caller. */
    private void deliver(ServiceAnswer newAnswer) {
        answer = newAnswer;
        post(new Event.AttemptFinished(request.requestId(), epoch, 0));
    }

    private void beginStream(ServiceAnswer newAnswer) {
        if (isFinished()) {
            newAnswer.discard();
            return;
        }
        streamed = newAnswer;
        writeHead(newAnswer);
        response.setChunked(true);
        newAnswer.streamTo(response, this::startWriteTimer, this::cancelWriteTimer);
    }

    /** The head was sent, so the only way to tell the caller that the answer is cut is to break its connection. */
    private void abort(Throwable error) {
        Reason reason = error instanceof EndpointException known ? known.reason() : Reason.STAGE_DIED;
        withdraw(Optional.of(new Refusal(reason, Verdict.MAY_HAVE_RUN, Messages.of(reason), 0)));
        response.reset();
    }

    private void writeHead(ServiceAnswer ready) {
        response.setStatusCode(ready.status());
        ServiceHeaders.towardsCaller(ready.headers(), response.headers());
        response.putHeader("X-Request-Id", request.requestId());
    }

    private void failed(int attemptEpoch, EndpointAddress address, Throwable error) {
        if (attemptEpoch != epoch) {
            return;
        }
        Reason reason = error instanceof EndpointException known ? known.reason() : Reason.STAGE_DIED;
        Verdict verdict = error instanceof EndpointException known ? known.verdict() : Verdict.MAY_HAVE_RUN;
        if (verdict == Verdict.NOT_RUN) {
            sent = false;
        } else if (grant != null) {
            // Without this record, callers that send again would be told that the call is still running.
            shared.journal()
                    .complete(shared.context(), grant, StoredAnswer.unknown().encode(), recorded -> {});
        }
        fail(attemptEpoch, address.endpointId(), reason, verdict);
    }

    private void fail(int attemptEpoch, String endpointId, Reason reason, Verdict verdict) {
        post(new Event.AttemptFailed(request.requestId(), attemptEpoch, endpointId, reason, verdict, 0));
    }

    @Override
    protected void cancelAttempt(int cancelledEpoch, Reason reason) {
        if (cancelledEpoch != epoch) {
            return;
        }
        if (!sent) {
            fail(cancelledEpoch, endpointId, reason, Verdict.NOT_RUN);
        } else if (grant == null) {
            release();
            fail(cancelledEpoch, endpointId, reason, Verdict.MAY_HAVE_RUN);
        }
    }

    /** A non-repeatable call that was sent goes on without its caller, so that its outcome is recorded. */
    @Override
    protected void release() {
        releaseGrant();
        if (inFlight != null && grant == null) {
            inFlight.cancel();
        }
    }

    private void releaseGrant() {
        if (grant != null && !sent) {
            shared.journal().abandon(shared.context(), grant, abandoned -> {});
            grant = null;
        }
    }

    @Override
    protected void completeAnswer() {
        finish(Optional.empty());
        if (streamed != null) {
            response.end();
        } else {
            writeHead(answer);
            response.end(answer.body());
        }
    }
}
