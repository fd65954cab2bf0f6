package io.radishwinch.server.proxy;

import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Relays one request to other routers, one after the other, and counts the endpoints that run it. Confined to one
 * traffic thread.
 *
 * <p>A request that no router takes is refused, unless its response has begun: such a response waits for a router until
 * its deadline. If the router is lost that continues it, the retry budget decides when another one does.
 */
final class RequestRelay {

    /**
     * Maximum number of routers to which a request is relayed one after the other; for a begun response, until the next
     * wait.
     */
    private static final int MAX_RELAYS = 3;

    /** Time for which the response of another router may arrive after the deadline, in ms. */
    private static final long DEADLINE_MARGIN_MS = 100;

    /** Time after which a begun response that no router takes is relayed again, in ms. */
    private static final long RETRY_INTERVAL_MS = 250;

    /** Number of error responses and of responses that continue nothing after which a begun response is broken off. */
    private static final int MAX_ERRORS = 3;

    private static final long NO_TIMER = -1;

    private final ProxyScope scope;
    private final RequestSpec request;
    private final Listener listener;
    private final EndpointUse endpoints;
    private final Set<String> triedRouterIds = new HashSet<>();
    private boolean isActive;
    private boolean isWaitingForRetryBudget;
    private int errors;
    private long deadlineTimerId = NO_TIMER;
    private long retryTimerId = NO_TIMER;

    /** Sends the request to the routers. */
    interface Listener {

        /** Runs a part of the relay that may end with an exception. */
        void run(Runnable part);

        /** Returns whether the caller is reading a response that another router can continue. */
        boolean isContinuable();

        /** Called to send the request to a router. */
        void onRelay(EndpointContact router);

        /** Called to ask the core for a retry; {@link #retryGranted} follows if the retry budget allows it. */
        void onRetryNeeded();

        /** Called when the request ends without the response of a router. */
        void onRelayEnd(Reason reason, Verdict verdict, long retryAfterMs);
    }

    /** Creates the state of a request that is not relayed. */
    RequestRelay(ProxyScope scope, RequestSpec request, Listener listener) {
        this.scope = scope;
        this.request = request;
        this.listener = listener;
        this.endpoints = new EndpointUse(request.maxRuns());
    }

    /** Returns whether a request that was refused for a reason may be served by a router that reaches its endpoints. */
    static boolean mayOtherRouterServe(Reason reason) {
        return switch (reason) {
            case NO_CAPACITY,
                    QUEUE_FULL,
                    DEADLINE_UNREACHABLE,
                    STAGE_DIED,
                    ENDPOINT_REFUSED,
                    ENDPOINT_CHANGED,
                    ENDPOINT_TIMEOUT,
                    RETRY_BUDGET_EXHAUSTED,
                    ATTEMPTS_EXHAUSTED -> true;
            default -> false;
        };
    }

    /** Returns the endpoints that may have run the request. */
    EndpointUse endpoints() {
        return endpoints;
    }

    /** Returns whether the request is relayed instead of running here. */
    boolean isActive() {
        return isActive;
    }

    /** Returns the next router that may take the request, if there is any. */
    Optional<EndpointContact> nextRouter() {
        return triedRouterIds.size() < MAX_RELAYS ? scope.relays().choose(triedRouterIds) : Optional.empty();
    }

    /** Relays the request from now on, to the given router first. */
    void start(EndpointContact router) {
        isActive = true;
        long remainingMs = request.deadlineMs() - scope.control().nowMs();
        deadlineTimerId = scope.vertx()
                .setTimer(
                        Math.max(1, remainingMs + DEADLINE_MARGIN_MS),
                        ignored -> listener.run(
                                () -> listener.onRelayEnd(Reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN, 0)));
        relayTo(router);
    }

    /** Ends the relay. */
    void cancel() {
        scope.vertx().cancelTimer(deadlineTimerId);
        scope.vertx().cancelTimer(retryTimerId);
    }

    /** Relays the request to the next router if the last one has not run it or its response can be continued. */
    void failed(EndpointContact router, Reason reason, Verdict verdict) {
        if (verdict == Verdict.NOT_RUN) {
            scope.relays().markUnavailable(router.endpointId());
            relayToNext();
            return;
        }
        endpoints.relayLost();
        if (verdict == Verdict.RAN) {
            errors++;
        }
        retryOrEnd(reason, verdict);
    }

    /**
     * Relays the request to the next router if its response can be continued, and ends it as the last one did
     * otherwise.
     */
    void rejected(RelayError error) {
        if (error.verdict() == Verdict.NOT_RUN && (listener.isContinuable() || error.contradictsAdmission())) {
            relayToNext();
        } else if (error.verdict() == Verdict.NOT_RUN || error.reason() == Reason.DEADLINE_EXCEEDED) {
            listener.onRelayEnd(error.reason(), error.verdict(), error.retryAfterMs());
        } else {
            endpoints.relayLost();
            errors++;
            retryOrEnd(error.reason(), error.verdict());
        }
    }

    /** Relays the request again once the retry budget allows it, if its response can be continued. */
    private void retryOrEnd(Reason reason, Verdict verdict) {
        if (listener.isContinuable() && endpoints.allowsContinuation() && errors < MAX_ERRORS) {
            isWaitingForRetryBudget = true;
            requestRetry();
        } else {
            listener.onRelayEnd(reason, verdict, 0);
        }
    }

    private void requestRetry() {
        listener.onRetryNeeded();
        retryTimerId = scope.vertx().setTimer(RETRY_INTERVAL_MS, ignored -> listener.run(this::requestRetry));
    }

    /** Relays the request to the next router, as the retry budget allows it. */
    void retryGranted() {
        if (isWaitingForRetryBudget) {
            isWaitingForRetryBudget = false;
            scope.vertx().cancelTimer(retryTimerId);
            relayToNext();
        }
    }

    private void relayToNext() {
        Optional<EndpointContact> router = nextRouter();
        if (router.isPresent()) {
            relayTo(router.get());
        } else if (listener.isContinuable()) {
            triedRouterIds.clear();
            retryTimerId = scope.vertx().setTimer(RETRY_INTERVAL_MS, ignored -> listener.run(this::relayToNext));
        } else {
            listener.onRelayEnd(Reason.NO_CAPACITY, Verdict.NOT_RUN, 0);
        }
    }

    private void relayTo(EndpointContact router) {
        triedRouterIds.add(router.endpointId());
        listener.onRelay(router);
    }
}
