package io.radishwinch.core;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.RequestSpec;
import java.util.List;
import java.util.Optional;

/**
 * Decides admission, order, chain, retry and refusal of requests.
 *
 * <p>Implementations are deterministic and not thread-safe; the control thread owns them. For each
 * {@link Event.RequestArrived} exactly one {@link Action.Refuse} or {@link Action.Complete} follows, unless the caller
 * goes away first.
 */
public interface DecisionCore {

    /**
     * Applies one event.
     *
     * @param event what happened
     * @param nowMs current time in ms; never decreases between calls
     * @return actions to perform, in order
     */
    List<Action> handle(Event event, long nowMs);

    /** Returns what is known of a request that is queued or running, for operators. */
    Optional<RequestView> request(String requestId);

    /** Returns a summary of the tables, for operators and metrics. */
    CoreView view();

    /**
     * State of one request.
     *
     * @param request the request
     * @param state {@code queued} or {@code running}
     * @param epoch epoch of the latest attempt, 0 before the first
     * @param history decisions so far, oldest first
     */
    record RequestView(RequestSpec request, String state, int epoch, List<String> history) {

        /** Copies the history. */
        public RequestView {
            history = List.copyOf(history);
        }
    }

    /**
     * Summary of the tables.
     *
     * @param queued requests queued
     * @param running requests running
     * @param endpoints state of each endpoint
     * @param pools state of each pool
     */
    record CoreView(int queued, int running, List<EndpointView> endpoints, List<PoolView> pools) {

        /** Copies the lists. */
        public CoreView {
            endpoints = List.copyOf(endpoints);
            pools = List.copyOf(pools);
        }
    }

    /**
     * State of one endpoint as this router sees it.
     *
     * @param endpointId endpoint
     * @param dataCentre data centre
     * @param acceleratorKind kind of accelerator
     * @param state {@code live}, {@code slow-start}, {@code ejected} or {@code leaving}
     * @param running attempts of this router on the endpoint
     * @param slots attempts that the endpoint runs at the same time
     */
    record EndpointView(
            String endpointId, String dataCentre, String acceleratorKind, String state, int running, int slots) {}

    /**
     * State of one pool.
     *
     * @param pool model name, or {@code service:<name>}
     * @param covered whether live endpoints cover every layer
     * @param boundTokensPerS achievable throughput in tokens/s
     * @param deliveredTokensPerS throughput of this router over the last 10 s, in tokens/s
     */
    record PoolView(String pool, boolean covered, double boundTokensPerS, double deliveredTokensPerS) {}
}
