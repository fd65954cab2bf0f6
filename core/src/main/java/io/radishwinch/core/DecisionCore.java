package io.radishwinch.core;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import java.util.List;
import java.util.Optional;

/**
 * Decides on admission, order, chain, retry and refusal of requests.
 *
 * <p>Implementations are deterministic and not thread-safe; the control thread owns them. Each
 * {@link Event.RequestArrived} leads to exactly one {@link Action.Refuse} or {@link Action.Complete}, unless the caller
 * disconnects first.
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

    /** Returns the state of a request that is queued, running or recently finished, or empty if it is unknown. */
    Optional<RequestView> request(String requestId);

    /**
     * Returns this router's share of a caller's limits and its usage, or empty if there is no contract for the caller.
     */
    Optional<CallerView> caller(String caller);

    /** Returns a summary of the requests, endpoints and pools for operators and metrics. */
    CoreView view();

    /**
     * State of one request.
     *
     * @param request the request
     * @param state {@code queued}, {@code running} or {@code finished}
     * @param epoch epoch of the latest attempt, 0 before the first
     * @param history decisions on the request, oldest first
     * @param verdict whether the request ran, or empty until it has finished
     * @param reason reason of the failure, or empty if the request has not failed
     */
    record RequestView(
            RequestSpec request,
            String state,
            int epoch,
            List<String> history,
            Optional<Verdict> verdict,
            Optional<Reason> reason) {

        /** Copies the history. */
        public RequestView {
            history = List.copyOf(history);
        }
    }

    /**
     * A caller's limits at this router.
     *
     * @param requestsPerS share of the rate limit in requests/s
     * @param tokensPerS share of the rate limit in tokens/s
     * @param concurrentRequests share of the concurrency limit
     * @param ranks queued and running requests by rank
     */
    record CallerView(double requestsPerS, double tokensPerS, double concurrentRequests, List<RankView> ranks) {

        /** Copies the list. */
        public CallerView {
            ranks = List.copyOf(ranks);
        }
    }

    /**
     * Requests of one rank at this router.
     *
     * @param rank rank
     * @param queued number of queued requests
     * @param running number of running requests
     */
    record RankView(Rank rank, int queued, int running) {}

    /**
     * Summary of requests, endpoints and pools.
     *
     * @param ranks requests by rank
     * @param endpoints state of each endpoint
     * @param pools state of each pool
     */
    record CoreView(List<RankView> ranks, List<EndpointView> endpoints, List<PoolView> pools) {

        /** Copies the lists. */
        public CoreView {
            ranks = List.copyOf(ranks);
            endpoints = List.copyOf(endpoints);
            pools = List.copyOf(pools);
        }

        /** Returns the number of requests queued. */
        public int queued() {
            return ranks.stream().mapToInt(RankView::queued).sum();
        }

        /** Returns the number of requests running. */
        public int running() {
            return ranks.stream().mapToInt(RankView::running).sum();
        }
    }

    /**
     * State of one endpoint as known to this router.
     *
     * @param endpointId endpoint
     * @param dataCentre data centre
     * @param acceleratorKind kind of accelerator
     * @param state {@code live}, {@code slow-start}, {@code ejected} or {@code leaving}
     * @param running attempts that this router runs on the endpoint
     * @param slots maximum number of concurrent attempts
     * @param kvBytes KV cache memory reserved for the attempts of this router, in bytes
     */
    record EndpointView(
            String endpointId,
            String dataCentre,
            String acceleratorKind,
            String state,
            int running,
            int slots,
            long kvBytes) {}

    /**
     * State of one pool.
     *
     * @param pool model name, or {@code service:<name>}
     * @param isCovered whether live endpoints cover every layer
     * @param boundTokensPerS throughput bound in tokens/s
     * @param deliveredTokensPerS throughput of this router over the last 10 s, in tokens/s
     */
    record PoolView(String pool, boolean isCovered, double boundTokensPerS, double deliveredTokensPerS) {}
}
