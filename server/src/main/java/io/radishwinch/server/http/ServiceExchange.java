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
    private boolean isSent;
    private int epoch;
    private String endpointId = "";
    private ServiceClient.Exchange inFlight;
    private ServiceResponse bufferedResponse;
    private ServiceResponse streamedResponse;

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
            postAttemptFailed(epoch, endpointId, Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
        } else if (request.isRepeatable() || grant != null) {
            send(attempt, address);
        } else {
            shared.journal()
                    .begin(
                            shared.context(),
                            request.caller(),
                            call.idempotencyKey(),
                            call.fingerprint(),
                            decision -> onJournalDecision(attempt, address, decision));
        }
    }

    private void onJournalDecision(Action.StartAttempt attempt, EndpointAddress address, Decision decision) {
        if (decision instanceof Decision.Granted granted) {
            grant = granted;
            if (isFinished() || attempt.epoch() != epoch) {
                releaseGrant();
            } else if (shared.control().nowMs() >= attempt.deadlineMs()) {
                // A process that was paused may wake with its grant long after the caller has given up.
                releaseGrant();
                postAttemptFailed(attempt.epoch(), endpointId, Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN);
            } else {
                send(attempt, address);
            }
        } else if (!isFinished()) {
            respondWithoutRunning(decision);
        }
    }

    private void respondWithoutRunning(Decision decision) {
        if (decision instanceof Decision.Replay replay) {
            replay(StoredResponse.decode(replay.outcome()));
        } else if (decision instanceof Decision.InProgress) {
            endWithError(
                    new Refusal(Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN, ErrorMessages.of(Reason.IN_PROGRESS), 1000));
        } else if (decision instanceof Decision.OutcomeUnknown) {
            endWithError(new Refusal(
                    Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, ErrorMessages.of(Reason.OUTCOME_UNKNOWN), 0));
        } else if (decision instanceof Decision.KeyReused) {
            endWithError(Refusal.notRun(Reason.KEY_REUSED, ErrorMessages.of(Reason.KEY_REUSED)));
        } else {
            endWithError(new Refusal(
                    Reason.PLATFORM_UNAVAILABLE, Verdict.NOT_RUN, ErrorMessages.of(Reason.PLATFORM_UNAVAILABLE), 2000));
        }
    }

    private void endWithError(Refusal refusal) {
        withdraw(Optional.of(refusal));
        ErrorResponse.send(response, request.requestId(), refusal);
    }

    private void replay(StoredResponse stored) {
        if (!stored.isOutcomeKnown()) {
            respondWithoutRunning(new Decision.OutcomeUnknown());
            return;
        }
        if (!stored.isBodyStored()) {
            endWithError(new Refusal(
                    Reason.OUTCOME_NOT_STORED, Verdict.RAN, ErrorMessages.of(Reason.OUTCOME_NOT_STORED), 0));
            return;
        }
        delivery.markReplayed();
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
        isSent = true;
        post(new Event.AttemptStarted(request.requestId(), attemptEpoch));
        ServiceClient.Call outgoing = new ServiceClient.Call(
                address,
                call.method(),
                call.uri(),
                ServiceHeaders.forService(call.headers(), request.requestId()),
                new ServiceClient.Body.Buffered(call.body()),
                attempt.deadlineMs());
        // On a kept connection that breaks it cannot be known whether the call ran.
        inFlight = shared.serviceClient().call(request.isRepeatable() ? outgoing : outgoing.withNewConnection());
        inFlight.response()
                .onComplete(
                        head -> readBody(attemptEpoch, address, head),
                        error -> onFailure(attemptEpoch, address, error));
    }

    private void readBody(int attemptEpoch, EndpointAddress address, ServiceClient.Response head) {
        if (attemptEpoch != epoch) {
            head.body().exceptionHandler(ignored -> {}).handler(ignored -> {}).resume();
            return;
        }
        ServiceResponse newAnswer = new ServiceResponse(head);
        newAnswer.onFailure(error -> {
            if (newAnswer == streamedResponse) {
                abort(error);
            } else {
                onFailure(attemptEpoch, address, error);
            }
        });
        newAnswer.onLarge(() -> recordOutcome(newAnswer, () -> startStreaming(newAnswer)));
        newAnswer.onEnd(() -> {
            if (newAnswer == streamedResponse) {
                post(new Event.AttemptFinished(request.requestId(), epoch, 0));
            } else {
                recordOutcome(newAnswer, () -> finishAttempt(newAnswer));
            }
        });
        newAnswer.read();
    }

    /** Records the outcome of a non-repeatable call before the caller sees anything of it. */
    private void recordOutcome(ServiceResponse newAnswer, Runnable next) {
        if (grant == null) {
            next.run();
        } else {
            shared.journal()
                    .complete(shared.context(), grant, newAnswer.toStored().encode(), recorded -> next.run());
        }
    }

    /** The core is told even if the caller has gone, because a non-repeatable call runs on without its caller. */
    private void finishAttempt(ServiceResponse newAnswer) {
        bufferedResponse = newAnswer;
        post(new Event.AttemptFinished(request.requestId(), epoch, 0));
    }

    private void startStreaming(ServiceResponse newAnswer) {
        if (isFinished()) {
            newAnswer.discard();
            return;
        }
        streamedResponse = newAnswer;
        writeHead(newAnswer);
        response.setChunked(true);
        newAnswer.streamTo(response, this::startWriteTimer, this::cancelWriteTimer);
    }

    /** The head was sent, so the only way to tell the caller that the answer is cut is to break its connection. */
    private void abort(Throwable error) {
        Reason reason = error instanceof EndpointException known ? known.reason() : Reason.STAGE_DIED;
        withdraw(Optional.of(new Refusal(reason, Verdict.MAY_HAVE_RUN, ErrorMessages.of(reason), 0)));
        response.reset();
    }

    private void writeHead(ServiceResponse ready) {
        response.setStatusCode(ready.status());
        ServiceHeaders.copyToCaller(ready.headers(), response.headers());
        response.putHeader("X-Request-Id", request.requestId());
    }

    private void onFailure(int attemptEpoch, EndpointAddress address, Throwable error) {
        if (attemptEpoch != epoch) {
            return;
        }
        Reason reason = error instanceof EndpointException known ? known.reason() : Reason.STAGE_DIED;
        Verdict verdict = error instanceof EndpointException known ? known.verdict() : Verdict.MAY_HAVE_RUN;
        if (verdict == Verdict.NOT_RUN) {
            isSent = false;
        } else if (grant != null) {
            // Without this record, callers that send again would be told that the call is still running.
            shared.journal()
                    .complete(shared.context(), grant, StoredResponse.unknown().encode(), recorded -> {});
        }
        postAttemptFailed(attemptEpoch, address.endpointId(), reason, verdict);
    }

    private void postAttemptFailed(int attemptEpoch, String endpointId, Reason reason, Verdict verdict) {
        post(new Event.AttemptFailed(request.requestId(), attemptEpoch, endpointId, reason, verdict, 0));
    }

    @Override
    protected void cancelAttempt(int cancelledEpoch, Reason reason) {
        if (cancelledEpoch != epoch) {
            return;
        }
        if (!isSent) {
            postAttemptFailed(cancelledEpoch, endpointId, reason, Verdict.NOT_RUN);
        } else if (grant == null) {
            releaseEndpoint();
            postAttemptFailed(cancelledEpoch, endpointId, reason, Verdict.MAY_HAVE_RUN);
        }
    }

    /** A non-repeatable call that was sent goes on without its caller, so that its outcome is recorded. */
    @Override
    protected void releaseEndpoint() {
        releaseGrant();
        if (inFlight != null && grant == null) {
            inFlight.cancel();
        }
    }

    private void releaseGrant() {
        if (grant != null && !isSent) {
            shared.journal().abandon(shared.context(), grant, abandoned -> {});
            grant = null;
        }
    }

    @Override
    protected void completeResponse() {
        finish(Optional.empty());
        if (streamedResponse != null) {
            response.end();
        } else {
            writeHead(bufferedResponse);
            response.end(bufferedResponse.body());
        }
    }
}
