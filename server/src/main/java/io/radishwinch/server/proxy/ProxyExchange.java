package io.radishwinch.server.proxy;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.http.AbstractExchange;
import io.radishwinch.server.http.ErrorMessages;
import io.radishwinch.server.http.Refusal;
import io.radishwinch.server.http.ResponseOrigin;
import io.radishwinch.server.route.Route;
import io.radishwinch.server.route.RouteKind;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Forwards one request of a caller to the endpoints that the core selects, and returns a single response.
 *
 * <p>Nothing is sent to the caller before the first event of a stream, or before the end of a short response, so that a
 * retry at another endpoint stays invisible to the caller. A started stream keeps its response head and resumes after
 * its last complete event. Once the head is sent, only a stream in the same format can continue the response: any other
 * response to a later attempt is a failure of that attempt.
 *
 * <p>While this router reaches no endpoint, the request is withdrawn from the core and relayed to another router, which
 * decides on it from then on. A response that has started continues there in the same way as at another endpoint.
 */
final class ProxyExchange extends AbstractExchange<ProxyScope> {

    /** Responses up to this size are buffered until they are complete, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 64 << 10;

    private static final long PROGRESS_INTERVAL_MS = 1_000;
    private static final int OK = 200;

    /** Epoch of the attempts at other routers, which the core does not know. */
    private static final int RELAY_EPOCH = -1;

    /** Maximum number of connections to one router. */
    private static final int MAX_RELAY_CONNECTIONS = 512;

    /** Time without data after which a running attempt of an isolated router is given up, in ms. */
    private static final long RELAY_AFTER_SILENCE_MS = 300;

    private final HttpServerRequest incoming;
    private final Route route;
    private final RequestHead head;
    private final Buffer body;
    private final int maxConnections;
    private final int tokensPerEvent;
    private final boolean isRelayAllowed;
    private final boolean isForPeer;
    private final EventScanner scanner;
    private final ResponseHistory history;
    private final RequestRelay relay;

    private Attempt attempt;
    private int startedRuns;
    private BufferedResponse bufferedResponse;
    private boolean isHeadSent;

    /** Format of the stream that the caller is reading, or null if the caller has no response or not a stream. */
    private StreamFormat startedStream;

    private boolean isAttemptFinished;
    private boolean isFirstTokenReported;
    private long nextProgressAtMs;
    private long lastActivityAtMs;

    ProxyExchange(
            ProxyScope scope,
            RequestSpec request,
            HttpServerRequest incoming,
            Route route,
            RequestHead head,
            Buffer body,
            int maxConnections,
            int tokensPerEvent,
            boolean isForPeer) {
        super(scope, request, incoming, body.length());
        this.incoming = incoming;
        this.route = route;
        this.head = head;
        this.body = body;
        this.maxConnections = maxConnections;
        this.tokensPerEvent = tokensPerEvent;
        // A caller of HTTP/1.0 may need the whole response in memory, which only the router that runs it can hold.
        this.isRelayAllowed = !isForPeer && !isDelimitedByClose();
        this.isForPeer = isForPeer;
        this.scanner = new EventScanner(head.resumeAfterEventId());
        this.history = new ResponseHistory(scope.connections());
        this.relay = new RequestRelay(scope, request, new RelayListener());
    }

    /**
     * Starts to serve the request.
     *
     * @param isIsolated whether this router reaches no endpoint, so that another one should take the request
     */
    void serve(boolean isIsolated) {
        guard(() -> {
            if (!isIsolated || !tryRelay()) {
                submit();
            }
        });
    }

    @Override
    protected void startAttempt(Action.StartAttempt start) {
        if (relay.isActive()) {
            return;
        }
        Chain chain = start.chain();
        List<ForwardingContext.Hop> hops = new ArrayList<>();
        for (Stage stage : chain.stages()) {
            Optional<EndpointContact> contact = shared.contacts().contact(stage.endpointId());
            if (contact.filter(endpoint -> !history.mayRepeatRefusal(endpoint)).isEmpty()) {
                postAttemptFailed(start.epoch(), stage.endpointId(), Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
                return;
            }
            hops.add(new ForwardingContext.Hop(
                    contact.get(), stage.layers().first(), stage.layers().end()));
        }
        lastActivityAtMs = shared.control().nowMs();
        scanner.startResponse();
        attempt = new Attempt(start.epoch(), hops.get(0).contact(), shared);
        boolean isService = request.pool().startsWith(ModelSpec.SERVICE_PREFIX);
        ForwardingContext forwarding = new ForwardingContext(
                request.caller(),
                attempt.contact,
                isService ? List.of() : hops,
                Math.max(1, start.deadlineMs() - lastActivityAtMs),
                start.priority(),
                scanner.lastEventId());
        MultiMap headers = shared.dialect().toEndpointHeaders(incoming.headers(), forwarding);
        attempt.call.start(
                new UpstreamCall.OutgoingRequest(
                        incoming.method(), incoming.uri(), headers, body, request.isRepeatable()),
                maxConnections);
    }

    /**
     * Relays the request to another router if it waits or its running attempt is silent; called while this router
     * reaches no endpoint. The core decides on a request that may have run, because of the retry budget.
     */
    void relayIfStuck(long nowMs) {
        guard(() -> relayIfSilent(nowMs));
    }

    private void relayIfSilent(long nowMs) {
        boolean isRunning = attempt != null && attempt.call.isSent();
        boolean isProgressing =
                isRunning && (nowMs - lastActivityAtMs <= RELAY_AFTER_SILENCE_MS || response.writeQueueFull());
        if (relay.isActive() || isProgressing) {
            return;
        }
        if (startedRuns == 0) {
            tryRelay();
        } else if (mayRelay()) {
            post(new Event.RelayRequested(request.requestId()));
        }
    }

    @Override
    public void relay() {
        onTrafficThread(() -> {
            if (!relay.isActive()) {
                tryRelay();
            } else if (!isFinished()) {
                relay.retryGranted();
            }
        });
    }

    private boolean mayRelay() {
        boolean isRunning = attempt != null && attempt.call.isSent();
        return isRelayAllowed
                && !relay.isActive()
                && !isFinished()
                && !isAttemptFinished
                && canContinue()
                && (request.isRepeatable() || startedRuns == 0 && !isRunning)
                && (isHeadSent ? relay.endpoints().allowsContinuation() : startedRuns < request.maxRuns());
    }

    /**
     * Relays the request to another router instead of running it here. Returns false, and changes nothing, if no router
     * can take it or another run is not allowed.
     */
    boolean tryRelay() {
        Optional<EndpointContact> router = mayRelay() ? relay.nextRouter() : Optional.empty();
        router.ifPresent(chosen -> {
            if (attempt != null) {
                attempt.reportEnd(ResponseEnd.Cause.CANCELLED, "relayed to " + chosen.endpointId());
                releaseEndpoint();
            }
            shared.control().withdraw(request.requestId());
            relay.start(chosen);
        });
        return router.isPresent();
    }

    @Override
    protected void cancelAttempt(int epoch, Reason reason) {
        if (attempt == null || attempt.epoch != epoch || isAttemptFinished) {
            return;
        }
        boolean isSent = attempt.call.isSent();
        if (isSent && !(request.isRepeatable() && canContinue())) {
            // This attempt may still complete; otherwise the core refuses the request.
            return;
        }
        EndpointContact contact = attempt.contact;
        attempt.reportEnd(ResponseEnd.Cause.CANCELLED, reason.wireName());
        releaseEndpoint();
        postAttemptFailed(epoch, contact.endpointId(), reason, isSent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN);
    }

    /** Returns whether the response of another attempt can follow what the caller has received. */
    private boolean canContinue() {
        return !isHeadSent || startedStream != null && request.isRepeatable() && scanner.canResume();
    }

    @Override
    protected void reportAbandoned(Reason reason) {
        if (attempt != null && !isAttemptFinished) {
            attempt.reportEnd(ResponseEnd.Cause.CANCELLED, reason.wireName());
        }
    }

    @Override
    protected void releaseEndpoint() {
        relay.cancel();
        if (attempt != null) {
            attempt.call.cancel();
            attempt = null;
        }
    }

    /** Reports an event of an attempt to the core, which does not know the attempts at other routers. */
    private void postAttemptEvent(Event event) {
        if (!relay.isActive()) {
            post(event);
        }
    }

    private void postAttemptFailed(int epoch, String endpointId, Reason reason, Verdict verdict) {
        post(new Event.AttemptFailed(request.requestId(), epoch, endpointId, reason, verdict, deliveredTokens()));
    }

    private int deliveredTokens() {
        return scanner.eventCount() * tokensPerEvent;
    }

    /**
     * Returns the endpoint of the running attempt if its stream has been unresponsive for too long.
     *
     * @param firstEventMs maximum time without data before the first event, in ms
     * @param nextEventMs maximum time without data between events, in ms
     */
    Optional<String> stalledEndpoint(long nowMs, long firstEventMs, long nextEventMs) {
        boolean isWaiting = !relay.isActive()
                && attempt != null
                && attempt.call.isSent()
                && !isAttemptFinished
                && route.kind() == RouteKind.STREAM;
        long allowedMs = isFirstTokenReported ? nextEventMs : firstEventMs;
        return isWaiting && nowMs - lastActivityAtMs > allowedMs && !response.writeQueueFull()
                ? Optional.of(attempt.contact.endpointId())
                : Optional.empty();
    }

    @Override
    protected void completeResponse() {
        if (relay.isActive() && !isAttemptFinished) {
            // The core decided before it learned that the request is relayed.
            return;
        }
        finish(Optional.empty());
        if (isHeadSent) {
            reportUnwritten(response.end());
        } else {
            sendBuffered(bufferedResponse);
        }
    }

    @Override
    protected void refuseRequest(Refusal refusal) {
        if (relay.isActive()) {
            return;
        }
        if (refusal.reason() == Reason.NO_CAPACITY) {
            shared.relays().suspectIsolation();
        }
        boolean hasNotRun = startedRuns == 0 && RequestRelay.mayOtherRouterServe(refusal.reason());
        if (hasNotRun && shared.relays().isIsolated() && tryRelay()) {
            return;
        }
        if (isAttemptFinished) {
            // The core decided before it learned that the response is complete.
            completeResponse();
            return;
        }
        BufferedResponse buffered = bufferedResponse;
        boolean isPartlySent = isHeadSent;
        finish(Optional.of(refusal));
        if (isPartlySent) {
            // The head has been sent, so only a connection reset tells the caller that the response is incomplete.
            abortResponse(refusal.reason());
        } else if (buffered != null && refusal.verdict() != Verdict.NOT_RUN) {
            sendBuffered(buffered);
        } else {
            sendRefusal(refusal);
        }
    }

    @Override
    protected void sendRefusal(Refusal refusal) {
        nameEndpoints();
        reportUnwritten(ProxyErrorResponse.send(response, refusal, shared, head.requestId()));
    }

    private void sendBuffered(BufferedResponse buffered) {
        writeHead(buffered.status(), buffered.headers());
        reportUnwritten(response.end(buffered.body()));
    }

    /** Tells the router that has relayed the request which endpoints have run it. */
    private void nameEndpoints() {
        if (isForPeer) {
            RelayHeaders.setRanAt(response.headers(), relay.endpoints().endpointIds());
        }
    }

    private void writeHead(int status, MultiMap headers) {
        response.setStatusCode(status);
        response.headers().addAll(shared.dialect().toCallerHeaders(headers));
        nameEndpoints();
        shared.announceClose(response);
    }

    /** Sends the request to other routers. */
    private final class RelayListener implements RequestRelay.Listener {
        @Override
        public void run(Runnable part) {
            guard(part);
        }

        @Override
        public boolean isContinuable() {
            return isHeadSent && canContinue();
        }

        @Override
        public void onRelay(EndpointContact router) {
            lastActivityAtMs = shared.control().nowMs();
            scanner.startResponse();
            attempt = new Attempt(RELAY_EPOCH, router, shared.forRelays());
            long remainingMs = Math.max(1, request.deadlineMs() - lastActivityAtMs);
            MultiMap headers = shared.dialect().toPeerHeaders(incoming.headers(), remainingMs, scanner.lastEventId());
            EndpointUse endpoints = relay.endpoints();
            int maxFurther = isHeadSent ? endpoints.remaining() : request.maxRuns() - startedRuns;
            endpoints.relayed(maxFurther);
            if (isHeadSent) {
                RelayHeaders.setContinuation(headers, endpoints.endpointIds(), maxFurther);
            } else {
                RelayHeaders.setMaxRuns(headers, maxFurther);
            }
            delivery.recordAttempt();
            shared.relays().relayed(request.requestId(), router.endpointId(), scanner.lastEventId());
            attempt.call.start(
                    new UpstreamCall.OutgoingRequest(
                            incoming.method(), incoming.uri(), headers, body, request.isRepeatable()),
                    MAX_RELAY_CONNECTIONS);
        }

        @Override
        public void onRetryNeeded() {
            shared.control().requestRelay(request, ProxyExchange.this);
        }

        /** Ends the request with an error, or breaks off its response if it has started. */
        @Override
        public void onRelayEnd(Reason reason, Verdict verdict, long retryAfterMs) {
            Verdict overall = startedRuns == 0 ? verdict : Verdict.MAY_HAVE_RUN;
            Refusal refusal = new Refusal(reason, overall, ErrorMessages.of(reason), retryAfterMs);
            finish(Optional.of(refusal));
            if (isHeadSent) {
                abortResponse(reason);
            } else {
                sendRefusal(refusal);
            }
        }
    }

    /** One attempt of the request on one chain. */
    private final class Attempt implements UpstreamCall.Listener {
        private final int epoch;
        private final EndpointContact contact;
        private final UpstreamCall call;
        private int status;
        private Optional<String> seal = Optional.empty();
        private MultiMap headers;
        private ResponseEnd.Framing framing = ResponseEnd.Framing.NONE;
        private final int duplicatesBefore = scanner.duplicateCount();
        private int eventCount;
        private boolean isFirstRunThere;
        private Buffer bufferedBody = Buffer.buffer();

        /** Comments before the first event, which are forwarded with it. */
        private Buffer leadingComments = Buffer.buffer();

        Attempt(int epoch, EndpointContact contact, ProxyScope scope) {
            this.epoch = epoch;
            this.contact = contact;
            this.call = new UpstreamCall(scope, contact, history.sealsOf(contact), this);
        }

        @Override
        public void run(Runnable part) {
            guard(part);
        }

        @Override
        public void onRequestSent() {
            if (epoch != RELAY_EPOCH) {
                startedRuns++;
                isFirstRunThere = relay.endpoints().add(contact.endpointId());
            }
            postAttemptEvent(new Event.AttemptStarted(request.requestId(), epoch));
        }

        @Override
        public void onRefused(ResponseHead responseHead) {
            String faultyEndpointId = responseHead
                    .faultAddress()
                    .flatMap(shared.contacts()::endpointAt)
                    .orElse(contact.endpointId());
            attempt = null;
            status = responseHead.status();
            reportEnd(ResponseEnd.Cause.REFUSED, "");
            Reason reason = responseHead.isMisdirected() ? Reason.ENDPOINT_CHANGED : Reason.ENDPOINT_REFUSED;
            Verdict verdict = history.verdictOf(contact, responseHead);
            if (verdict == Verdict.NOT_RUN && isFirstRunThere) {
                relay.endpoints().remove(contact.endpointId());
            }
            failAttempt(faultyEndpointId, reason, verdict);
        }

        @Override
        public void onResponseHead(ResponseHead responseHead, MultiMap responseHeaders) {
            status = responseHead.status();
            seal = responseHead.seal();
            headers = responseHeaders;
            framing = ResponseEnd.Framing.of(headers);
            if (epoch == RELAY_EPOCH) {
                relay.endpoints().named(RelayHeaders.takeRanAt(headers));
            }
            if (epoch == RELAY_EPOCH && !responseHead.isSealed()) {
                call.cancel();
                attempt = null;
                reportEnd(ResponseEnd.Cause.REFUSED, "response of a router");
                if (RelayHeaders.isUnavailable(headers)) {
                    relay.failed(contact, Reason.NO_CAPACITY, Verdict.NOT_RUN);
                } else {
                    relay.rejected(RelayError.of(status, headers));
                }
                return;
            }
            if (!responseHead.isSealed()) {
                // Without the seal, the response cannot be attributed to the endpoint.
                call.cancel();
                fail(ResponseEnd.Cause.UNSEALED, "response with status " + status + " lacks the endpoint's seal");
                return;
            }
            if (isHeadSent && !continuesStream()) {
                failUnexpected("response with status " + status + " does not continue the stream");
                return;
            }
            lastActivityAtMs = shared.control().nowMs();
        }

        @Override
        public void onBodyChunk(Buffer chunk) {
            lastActivityAtMs = shared.control().nowMs();
            if (isStream()) {
                int eventsBefore = scanner.eventCount();
                Buffer events = scanner.feed(chunk);
                int newEvents = scanner.eventCount() - eventsBefore;
                eventCount += newEvents;
                if (eventCount == 0) {
                    leadingComments.appendBuffer(events);
                } else if (newEvents > 0) {
                    forwardEvents(leadingComments.appendBuffer(events));
                    leadingComments = Buffer.buffer();
                } else if (events.length() > 0) {
                    write(events);
                }
                if (scanner.isOversized() || leadingComments.length() > EventScanner.MAX_EVENT_BYTES) {
                    call.cancel();
                    fail(ResponseEnd.Cause.OVERSIZED, "event exceeds the maximum size");
                } else if (scanner.isPositionLost()) {
                    failUnexpected("resumed stream contains an event without identifier");
                }
            } else if (isHeadSent) {
                write(chunk);
            } else {
                bufferedBody.appendBuffer(chunk);
                if (bufferedBody.length() > MAX_BUFFERED_BYTES) {
                    Buffer prefix = bufferedBody;
                    bufferedBody = Buffer.buffer();
                    if (startResponse()) {
                        write(prefix);
                    }
                }
            }
        }

        @Override
        public void onEnd() {
            if (isStream()) {
                onStreamEnd();
            } else if (isHeadSent) {
                finishAttempt();
            } else if (epoch != RELAY_EPOCH && request.isRepeatable() && status >= 500) {
                bufferedResponse = new BufferedResponse(status, headers, bufferedBody);
                history.recordError(contact, seal);
                attempt = null;
                reportEnd(ResponseEnd.Cause.COMPLETE, "");
                postAttemptFailed(epoch, contact.endpointId(), Reason.ENDPOINT_ERROR, Verdict.RAN);
            } else {
                bufferedResponse = new BufferedResponse(status, headers, bufferedBody);
                finishAttempt();
            }
        }

        @Override
        public void onFailure(Reason reason, Verdict verdict, String message) {
            reportEnd(ResponseEnd.Cause.CONNECTION_FAILED, message);
            endAttempt(reason, verdict);
        }

        private void fail(ResponseEnd.Cause cause, String detail) {
            reportEnd(cause, detail);
            endAttempt(Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
        }

        /** Ends the attempt because its response does not continue the stream that the caller is reading. */
        private void failUnexpected(String detail) {
            call.cancel();
            reportEnd(ResponseEnd.Cause.UNEXPECTED, detail);
            endAttempt(Reason.ENDPOINT_ERROR, Verdict.RAN);
        }

        private void reportEnd(ResponseEnd.Cause cause, String detail) {
            observe(() -> shared.responseEnds()
                    .responseEnded(
                            request.requestId(),
                            new ResponseEnd(
                                    epoch,
                                    contact.endpointId(),
                                    status,
                                    framing,
                                    eventCount,
                                    cause,
                                    detail,
                                    call.carrier())));
        }

        /** Lets the core retry the request, or resets the caller's connection if no other response can follow. */
        private void endAttempt(Reason reason, Verdict verdict) {
            attempt = null;
            if (epoch == RELAY_EPOCH || canContinue()) {
                failAttempt(contact.endpointId(), reason, verdict);
            } else {
                abort(reason);
            }
        }

        private void failAttempt(String endpointId, Reason reason, Verdict verdict) {
            if (epoch == RELAY_EPOCH) {
                relay.failed(contact, reason, verdict);
            } else {
                postAttemptFailed(epoch, endpointId, reason, verdict);
            }
        }

        private boolean isStream() {
            return route.kind() == RouteKind.STREAM && status == OK;
        }

        /** Returns whether this response is a stream in the format of the one that the caller is reading. */
        private boolean continuesStream() {
            return isStream() && StreamFormat.of(headers).equals(startedStream);
        }

        private void onStreamEnd() {
            if (scanner.hasPartialEvent()) {
                fail(ResponseEnd.Cause.PARTIAL, "stream ended inside an event");
            } else if (eventCount == 0 && !statesThatNoEventIsLeft()) {
                fail(ResponseEnd.Cause.PARTIAL, "stream ended without a new event");
            } else {
                bufferedResponse = new BufferedResponse(status, headers, Buffer.buffer());
                finishAttempt();
            }
        }

        /**
         * Returns whether a response without new events states that the caller has all of them: it is empty, and a
         * length or a last chunk delimits it.
         */
        private boolean statesThatNoEventIsLeft() {
            boolean callerHasEvents = isHeadSent || head.resumeAfterEventId() != RequestHead.NONE;
            return callerHasEvents
                    && framing != ResponseEnd.Framing.CONNECTION
                    && scanner.duplicateCount() == duplicatesBefore;
        }

        private void finishAttempt() {
            isAttemptFinished = true;
            ResponseEnd.Carrier carrier = call.carrier();
            delivery.recordOrigin(
                    new ResponseOrigin(status, contact.endpointId(), carrier.describe(), carrier.surplusResponses()));
            reportEnd(ResponseEnd.Cause.COMPLETE, "");
            if (epoch == RELAY_EPOCH) {
                completeResponse();
            } else {
                post(new Event.AttemptFinished(request.requestId(), epoch, deliveredTokens()));
            }
        }

        private void forwardEvents(Buffer events) {
            long nowMs = lastActivityAtMs;
            delivery.recordToken(nowMs);
            if (!isHeadSent && !startResponse()) {
                return;
            }
            if (!isFirstTokenReported) {
                isFirstTokenReported = true;
                postAttemptEvent(new Event.FirstToken(request.requestId(), epoch));
            } else if (nowMs >= nextProgressAtMs) {
                nextProgressAtMs = nowMs + PROGRESS_INTERVAL_MS;
                postAttemptEvent(new Event.Progress(request.requestId(), epoch, deliveredTokens()));
            }
            write(events);
        }

        /**
         * Sends the head to the caller. Ends the exchange and returns false if the caller could not tell a response
         * that breaks off from a complete one.
         */
        private boolean startResponse() {
            boolean hasLength = !isStream() && headers.contains(HttpHeaders.CONTENT_LENGTH);
            if (isDelimitedByClose() && !hasLength) {
                Refusal refusal = new Refusal(
                        Reason.MALFORMED_REQUEST,
                        Verdict.RAN,
                        "a response of this size and unknown length needs HTTP/1.1",
                        0);
                withdraw(Optional.of(refusal));
                sendRefusal(refusal);
                return false;
            }
            isHeadSent = true;
            startedStream = isStream() ? StreamFormat.of(headers) : null;
            writeHead(status, headers);
            if (!hasLength) {
                response.headers().remove(HttpHeaders.CONTENT_LENGTH);
                response.setChunked(true);
            }
            return true;
        }

        private void write(Buffer bytes) {
            response.write(bytes);
            if (response.writeQueueFull()) {
                call.pause();
                startWriteTimer();
                response.drainHandler(ignored -> guard(() -> {
                    cancelWriteTimer();
                    lastActivityAtMs = shared.control().nowMs();
                    if (attempt == this && !isAttemptFinished) {
                        call.resume();
                    }
                }));
            }
        }
    }
}
