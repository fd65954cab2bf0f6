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
 * Exchange of one call of a plain service. A small response is read completely before it is forwarded, so that a
 * failure during the response can be retried; a large response is streamed. The outcome of a non-repeatable call is
 * recorded in the journal before any of it is sent to the caller.
 */
final class ServiceExchange extends AbstractExchange<ExchangeContext> {
    private static final String REPLAYED_HEADER = "X-Radishwinch-Replayed";

    private final Call call;
    private Decision.Granted grant;
    private boolean isSent;
    private boolean isOutcomeRecorded;
    private boolean isAttemptEnded;
    private boolean isResponseComplete;
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
     * A call to forward to the service.
     *
     * @param method HTTP method
     * @param uri path after the service name, with the query
     * @param headers headers of the caller's request
     * @param body body of the caller's request
     * @param idempotencyKey idempotency key of the caller, or null
     * @param fingerprint hash of method, path and body
     */
    record Call(
            HttpMethod method, String uri, MultiMap headers, Buffer body, String idempotencyKey, byte[] fingerprint) {}

    @Override
    protected void startAttempt(Action.StartAttempt attempt) {
        epoch = attempt.epoch();
        isAttemptEnded = false;
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
                            decision -> guard(() -> onJournalDecision(attempt, address, decision)));
        }
    }

    private void onJournalDecision(Action.StartAttempt attempt, EndpointAddress address, Decision decision) {
        if (decision instanceof Decision.Granted granted) {
            grant = granted;
            if (isFinished() || attempt.epoch() != epoch) {
                releaseGrant();
            } else if (!isAttemptEnded) {
                sendGranted(attempt, address);
            }
            // The grant of a cancelled attempt is kept for the next attempt.
        } else if (!isFinished()) {
            respondWithoutRunning(decision);
        }
    }

    private void sendGranted(Action.StartAttempt attempt, EndpointAddress address) {
        if (shared.control().nowMs() >= attempt.deadlineMs()) {
            // A paused process can resume with a grant long after the deadline of the request.
            releaseGrant();
            postAttemptFailed(attempt.epoch(), endpointId, Reason.DEADLINE_EXCEEDED, Verdict.NOT_RUN);
        } else {
            send(attempt, address);
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
        reportUnwritten(ErrorResponse.send(response, request.requestId(), refusal));
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
        reportUnwritten(response.end(Buffer.buffer(stored.body())));
    }

    private void send(Action.StartAttempt attempt, EndpointAddress address) {
        int attemptEpoch = attempt.epoch();
        ServiceClient.Call outgoing = new ServiceClient.Call(
                address,
                call.method(),
                call.uri(),
                ServiceHeaders.forService(call.headers(), request.requestId()),
                new ServiceClient.Body.Buffered(call.body()),
                attempt.deadlineMs());
        post(new Event.AttemptStarted(request.requestId(), attemptEpoch));
        inFlight = shared.serviceClient().call(outgoing);
        isSent = true;
        inFlight.response()
                .onComplete(
                        head -> guard(() -> readBody(attemptEpoch, address, head)),
                        error -> guard(() -> onFailure(attemptEpoch, address, error)));
    }

    private void readBody(int attemptEpoch, EndpointAddress address, ServiceClient.Response head) {
        if (attemptEpoch != epoch) {
            head.body().exceptionHandler(ignored -> {}).handler(ignored -> {}).resume();
            return;
        }
        ServiceResponse serviceResponse = new ServiceResponse(head, this::guard);
        serviceResponse.onFailure(error -> {
            if (serviceResponse == streamedResponse) {
                abort(error instanceof EndpointException known ? known.reason() : Reason.STAGE_DIED);
            } else {
                onFailure(attemptEpoch, address, error);
            }
        });
        serviceResponse.onLarge(
                () -> recordOutcome(serviceResponse, () -> startStreaming(attemptEpoch, serviceResponse)));
        serviceResponse.onEnd(() -> {
            if (serviceResponse == streamedResponse) {
                postAttemptFinished(attemptEpoch);
            } else {
                recordOutcome(serviceResponse, () -> finishAttempt(attemptEpoch, serviceResponse));
            }
        });
        serviceResponse.read();
    }

    /** Records the outcome of a non-repeatable call, then runs the next step. */
    private void recordOutcome(ServiceResponse serviceResponse, Runnable next) {
        if (grant == null || isOutcomeRecorded) {
            next.run();
        } else {
            record(serviceResponse.toStored(), next);
        }
    }

    private void record(StoredResponse outcome, Runnable next) {
        byte[] encoded = outcome.encode();
        isOutcomeRecorded = true;
        shared.journal().complete(shared.context(), grant, encoded, recorded -> guard(next));
    }

    /**
     * Reports the end of the attempt to the core, even if the caller has disconnected: a non-repeatable call continues
     * without its caller.
     */
    private void finishAttempt(int attemptEpoch, ServiceResponse serviceResponse) {
        if (isRunning(attemptEpoch)) {
            bufferedResponse = serviceResponse;
            postAttemptFinished(attemptEpoch);
        }
    }

    private void postAttemptFinished(int attemptEpoch) {
        isAttemptEnded = true;
        isResponseComplete = true;
        post(new Event.AttemptFinished(request.requestId(), attemptEpoch, 0));
    }

    private boolean isRunning(int attemptEpoch) {
        return attemptEpoch == epoch && !isAttemptEnded;
    }

    private void startStreaming(int attemptEpoch, ServiceResponse serviceResponse) {
        if (isFinished() || !isRunning(attemptEpoch)) {
            serviceResponse.discard();
            return;
        }
        String length = serviceResponse.headers().get(HttpHeaders.CONTENT_LENGTH);
        if (isDelimitedByClose() && length == null) {
            serviceResponse.discard();
            endWithError(new Refusal(
                    Reason.MALFORMED_REQUEST,
                    Verdict.RAN,
                    "a response of this size and unknown length needs HTTP/1.1",
                    0));
            return;
        }
        streamedResponse = serviceResponse;
        writeHead(serviceResponse);
        if (isDelimitedByClose()) {
            response.putHeader(HttpHeaders.CONTENT_LENGTH, length);
        } else {
            response.setChunked(true);
        }
        serviceResponse.streamTo(response, this::startWriteTimer, this::cancelWriteTimer);
    }

    private void writeHead(ServiceResponse serviceResponse) {
        response.setStatusCode(serviceResponse.status());
        ServiceHeaders.copyToCaller(serviceResponse.headers(), response.headers());
        response.putHeader("X-Request-Id", request.requestId());
    }

    private void onFailure(int attemptEpoch, EndpointAddress address, Throwable error) {
        if (!isRunning(attemptEpoch)) {
            return;
        }
        Reason reason = error instanceof EndpointException known ? known.reason() : Reason.STAGE_DIED;
        Verdict verdict = error instanceof EndpointException known ? known.verdict() : Verdict.MAY_HAVE_RUN;
        if (verdict == Verdict.NOT_RUN) {
            isSent = false;
        } else if (grant != null) {
            // Without this record, a retry by the caller would be refused because the call appears to be running.
            record(StoredResponse.unknown(), () -> {});
        }
        postAttemptFailed(attemptEpoch, address.endpointId(), reason, verdict);
    }

    private void postAttemptFailed(int attemptEpoch, String endpointId, Reason reason, Verdict verdict) {
        isAttemptEnded = true;
        post(new Event.AttemptFailed(request.requestId(), attemptEpoch, endpointId, reason, verdict, 0));
    }

    /**
     * Cancels an attempt, unless its response has begun: it may still complete; otherwise the core refuses the request.
     */
    @Override
    protected void cancelAttempt(int cancelledEpoch, Reason reason) {
        if (!isRunning(cancelledEpoch)) {
            return;
        }
        if (!isSent) {
            postAttemptFailed(cancelledEpoch, endpointId, reason, Verdict.NOT_RUN);
        } else if (grant == null && streamedResponse == null) {
            releaseEndpoint();
            postAttemptFailed(cancelledEpoch, endpointId, reason, Verdict.MAY_HAVE_RUN);
        }
    }

    /**
     * Cancels the call, unless it is a non-repeatable call that was sent: it continues without its caller, so that its
     * outcome is recorded.
     */
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

    /**
     * Ends the call and records that its outcome is unknown, if no other is recorded. The core gets the end of the
     * attempt, because it keeps a non-repeatable call without a caller until then.
     */
    @Override
    protected void abandonAttempt() {
        if (inFlight != null) {
            inFlight.cancel();
        }
        if (grant != null && isSent && !isOutcomeRecorded) {
            record(StoredResponse.unknown(), () -> {});
        }
        if (isRunning(epoch) && epoch > 0) {
            postAttemptFailed(epoch, endpointId, Reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN);
        }
    }

    /** Delivers a complete response although the core refused the request before it learned of the end. */
    @Override
    protected void refuseRequest(Refusal refusal) {
        if (isResponseComplete) {
            completeResponse();
        } else {
            super.refuseRequest(refusal);
        }
    }

    @Override
    protected void completeResponse() {
        finish(Optional.empty());
        if (streamedResponse != null) {
            reportUnwritten(response.end());
        } else {
            writeHead(bufferedResponse);
            reportUnwritten(response.end(bufferedResponse.body()));
        }
    }
}
