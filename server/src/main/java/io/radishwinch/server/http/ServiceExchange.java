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
 * One call of a plain service. The answer is read whole before it is passed on, so that a failure in the middle can be
 * retried, and so that the outcome of a non-repeatable call is recorded before the caller sees it.
 */
final class ServiceExchange extends AbstractExchange {
    private static final String REPLAYED_HEADER = "X-Radishwinch-Replayed";

    private final Call call;
    private final int maxAnswerBytes;
    private Decision.Granted grant;
    private boolean sent;
    private int epoch;
    private Answer answer;

    ServiceExchange(
            ExchangeContext shared,
            CallerRequest caller,
            RequestSpec request,
            Call call,
            HttpServerRequest httpRequest,
            int maxAnswerBytes) {
        super(shared, caller, request, httpRequest, call.body().length());
        this.call = call;
        this.maxAnswerBytes = maxAnswerBytes;
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

    /** Status, headers and body of an answer. */
    private record Answer(int status, MultiMap headers, Buffer body) {}

    @Override
    void startAttempt(Action.StartAttempt attempt) {
        epoch = attempt.epoch();
        String endpointId = attempt.chain().head().endpointId();
        EndpointAddress address = shared.endpoints().address(endpointId);
        if (address == null) {
            fail(epoch, endpointId, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
        } else if (request.repeatable() || grant != null) {
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
        if (!stored.stored()) {
            endWith(new Refusal(
                    Reason.OUTCOME_NOT_STORED, Verdict.RAN, Messages.of(Reason.OUTCOME_NOT_STORED), 0));
            return;
        }
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
        shared.services()
                .call(new ServiceClient.Call(
                        address,
                        call.method(),
                        call.uri(),
                        ServiceHeaders.towardsService(call.headers(), request.requestId()),
                        new ServiceClient.Body.Whole(call.body()),
                        attempt.deadlineMs()))
                .onComplete(
                        head -> readBody(attemptEpoch, address, head),
                        error -> failed(attemptEpoch, address, error));
    }

    private void readBody(int attemptEpoch, EndpointAddress address, ServiceClient.Response head) {
        Buffer body = Buffer.buffer();
        head.body().handler(chunk -> {
            if (body.length() + chunk.length() <= maxAnswerBytes) {
                body.appendBuffer(chunk);
            }
        });
        head.body().exceptionHandler(error -> failed(attemptEpoch, address, error));
        head.body().endHandler(ignored -> answered(attemptEpoch, new Answer(head.status(), head.headers(), body)));
        head.body().resume();
    }

    private void answered(int attemptEpoch, Answer newAnswer) {
        if (attemptEpoch != epoch) {
            return;
        }
        if (grant == null) {
            deliver(newAnswer);
            return;
        }
        String contentType = newAnswer.headers().get(HttpHeaders.CONTENT_TYPE);
        byte[] outcome = StoredAnswer.of(
                        newAnswer.status(), contentType == null ? "" : contentType, newAnswer.body().getBytes())
                .encode();
        shared.journal().complete(shared.context(), grant, outcome, recorded -> deliver(newAnswer));
    }

    private void deliver(Answer newAnswer) {
        if (!isFinished()) {
            answer = newAnswer;
            post(new Event.AttemptFinished(request.requestId(), epoch, 0));
        }
    }

    private void failed(int attemptEpoch, EndpointAddress address, Throwable error) {
        if (attemptEpoch != epoch) {
            return;
        }
        Reason reason = error instanceof EndpointException known ? known.reason() : Reason.STAGE_DIED;
        Verdict verdict = error instanceof EndpointException known ? known.verdict() : Verdict.MAY_HAVE_RUN;
        if (verdict == Verdict.NOT_RUN) {
            sent = false;
        }
        fail(attemptEpoch, address.endpointId(), reason, verdict);
    }

    private void fail(int attemptEpoch, String endpointId, Reason reason, Verdict verdict) {
        post(new Event.AttemptFailed(request.requestId(), attemptEpoch, endpointId, reason, verdict, 0));
    }

    /** A call that was sent is not cut off: a plain service cannot say whether it stopped in time. */
    @Override
    void cancelAttempt(int cancelledEpoch, Reason reason) {
        if (cancelledEpoch == epoch && !sent) {
            fail(cancelledEpoch, "", reason, Verdict.NOT_RUN);
        }
    }

    @Override
    void release() {
        releaseGrant();
    }

    private void releaseGrant() {
        if (grant != null && !sent) {
            shared.journal().abandon(shared.context(), grant, abandoned -> {});
            grant = null;
        }
    }

    @Override
    void completeAnswer() {
        Answer ready = answer;
        finish(Optional.empty());
        response.setStatusCode(ready.status());
        ServiceHeaders.towardsCaller(ready.headers(), response.headers());
        response.putHeader("X-Request-Id", request.requestId()).end(ready.body());
    }
}
