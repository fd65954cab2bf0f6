package io.radishwinch.server.admin;

import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.core.model.Contract;
import io.radishwinch.report.DaySummary;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.LocalDate;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Operations of the router that the operators' interface uses.
 *
 * <p>Methods are called on the event loops of the operators' HTTP server and must not block. A failed {@code Uni} or
 * {@code Multi} results in a response with status 503 and the message of the failure; a {@link ControlException}
 * selects another status.
 */
public interface RouterControl {

    /** Returns the state of this router and its view of the fleet. */
    Uni<FleetStatus> status();

    /**
     * Explains the state and outcome of a request that this router accepted.
     *
     * @return the explanation, or empty if this router has no record of the request
     */
    Uni<Optional<RequestExplanation>> explainRequest(String requestId);

    /** Explains how a caller is being served. Returns empty if the caller has no contract. */
    Uni<Optional<CallerExplanation>> explainCaller(String caller);

    /** Returns a configuration object in effect, or empty if it does not exist. */
    Uni<Optional<StoredDocument>> getObject(ObjectKind kind, String name);

    /** Returns all configuration objects of a kind in effect, ordered by name. */
    Uni<List<StoredDocument>> listObjects(ObjectKind kind);

    /**
     * Writes an object if its version is the expected one.
     *
     * @param text validated YAML text
     * @param expectedVersion version that the operator read, or 0 to create the object
     * @param change operator and time of the change, stored with the object
     */
    Uni<ChangeResult> putObject(ObjectKind kind, String name, String text, long expectedVersion, ChangeStamp change);

    /**
     * Deletes an object if its version is the expected one.
     *
     * @param expectedVersion version that the operator read
     * @param change operator and time of the change
     */
    Uni<ChangeResult> deleteObject(ObjectKind kind, String name, long expectedVersion, ChangeStamp change);

    /**
     * Drains a VM: it receives no new work, and running requests finish.
     *
     * @return the state of the drain, or empty if the VM is not known
     */
    Uni<Optional<DrainProgress>> drainVm(String vmId, ChangeStamp change);

    /** Returns the summaries that the routers wrote for a day, including the current one of this router. */
    Multi<DaySummary> daySummaries(LocalDate day);

    /** Returns the settings in effect by path, without secrets. */
    Map<String, String> settingsInEffect();

    /** Returns the throughput bound of each model pool with its live endpoints, in tokens/s. */
    Map<String, Double> boundTokensPerSByPool();

    /** Returns the contracts in effect. */
    Collection<Contract> contracts();

    /** Returns whether the process is healthy; false makes the platform replace it. */
    boolean isHealthy();

    /** Returns why this router should receive no new callers, or empty if it is ready. */
    Optional<String> notReadyReason();

    /** Returns all metrics in the Prometheus text format. */
    String metricsText();

    /** Returns the current time, in ms since the epoch. */
    long nowMs();

    /**
     * State of one router and its view of the fleet.
     *
     * @param routerId identifier of this router
     * @param dataCentre data centre of this router
     * @param release release of the software
     * @param startedAtMs start time of the process, in ms since the epoch
     * @param configVersion version of the configuration in effect
     * @param platformReachable whether the last call to the platform's object API succeeded
     * @param platformLastReachedAtMs time of the last successful call, in ms since the epoch, or 0
     * @param draining whether this router is draining
     * @param routers routers of the fleet, including this one
     * @param pools pools of models and services
     * @param ranks queued and running requests at this router, by rank
     * @param notices conditions that need an operator's attention, most important first
     */
    record FleetStatus(
            String routerId,
            String dataCentre,
            String release,
            long startedAtMs,
            long configVersion,
            boolean platformReachable,
            long platformLastReachedAtMs,
            boolean draining,
            List<RouterStatus> routers,
            List<PoolStatus> pools,
            List<RankStatus> ranks,
            List<String> notices) {}

    /**
     * State of a router in the view of another router.
     *
     * @param routerId identifier of the router
     * @param dataCentre data centre of the router
     * @param state {@code alive}, {@code suspected}, {@code leaving} or {@code gone}
     * @param configVersion version of the configuration in effect at that router, or 0 if not known
     */
    record RouterStatus(String routerId, String dataCentre, String state, long configVersion) {}

    /**
     * State of the endpoints of one pool.
     *
     * @param pool model name, or {@code service:<name>}
     * @param live number of endpoints that receive work
     * @param ejected number of endpoints ejected because of failures or latency
     * @param leaving number of endpoints that finish their work before they leave
     * @param covered whether every layer has a live holder
     * @param boundTokensPerS throughput bound of the live endpoints, in tokens/s
     */
    record PoolStatus(String pool, int live, int ejected, int leaving, boolean covered, double boundTokensPerS) {}

    /**
     * Requests of one rank.
     *
     * @param rank wire name of the rank
     * @param queued number of queued requests
     * @param running number of running requests
     */
    record RankStatus(String rank, int queued, int running) {}

    /**
     * State and outcome of one request.
     *
     * @param requestId identifier of the request
     * @param caller name of the caller
     * @param rank wire name of the rank
     * @param pool model or service
     * @param state {@code queued}, {@code running} or {@code finished}
     * @param verdict wire name of the verdict, or an empty string if the request is not finished
     * @param reason wire name of the reason, or an empty string if there is none
     * @param summary outcome and cause in one or two sentences
     * @param advice suggested action of the caller or operator, or an empty string
     * @param steps decisions about the request in chronological order
     */
    record RequestExplanation(
            String requestId,
            String caller,
            String rank,
            String pool,
            String state,
            String verdict,
            String reason,
            String summary,
            String advice,
            List<Step> steps) {}

    /**
     * One decision about a request.
     *
     * @param atMs time of the decision, in ms since the epoch
     * @param text the decision and its reason
     */
    record Step(long atMs, String text) {}

    /**
     * How a caller is being served by this router.
     *
     * @param caller name of the caller
     * @param contractVersion version of the contract
     * @param summary state of the caller in one or two sentences
     * @param limits limits of the contract, with this router's share and current use
     * @param ranks requests of the current day at this router, by rank
     * @param refusedByReason number of requests refused today at this router, by wire name of the reason
     */
    record CallerExplanation(
            String caller,
            long contractVersion,
            String summary,
            List<LimitUse> limits,
            List<CallerRank> ranks,
            Map<String, Long> refusedByReason) {}

    /**
     * Current use of one limit.
     *
     * @param limit field of the contract, for example {@code limits.tokensPerS}
     * @param contract value in the contract, which applies to the whole fleet
     * @param share this router's share of the limit
     * @param used current use at this router, in the same unit
     */
    record LimitUse(String limit, double contract, double share, double used) {}

    /**
     * Requests of one rank of a caller.
     *
     * @param rank wire name of the rank
     * @param offered number of requests today
     * @param withinDeadline number of today's requests that were completed within the deadline
     * @param queued number of requests queued now
     * @param running number of requests running now
     */
    record CallerRank(String rank, long offered, long withinDeadline, int queued, int running) {}

    /**
     * A configuration object.
     *
     * @param name name of the object
     * @param version version of the last write
     * @param text YAML text
     * @param changedBy operator of the last write, or an empty string if not known
     * @param changedAtMs time of the last write, in ms since the epoch, or 0 if not known
     */
    record StoredDocument(String name, long version, String text, String changedBy, long changedAtMs) {}

    /** Outcome of a conditional write. */
    sealed interface ChangeResult {
        /**
         * The write took effect.
         *
         * @param version version of the write
         */
        record Changed(long version) implements ChangeResult {}

        /**
         * The stored version is not the expected one; nothing was written.
         *
         * @param winner the stored object, or empty if it does not exist
         */
        record Conflict(Optional<StoredDocument> winner) implements ChangeResult {}
    }

    /**
     * State of a drain.
     *
     * @param vmId identifier of the VM
     * @param running known number of requests that still run on the VM
     * @param deadlineMs time by which the requests must end, in ms since the epoch
     * @param text description of the action taken, in one sentence
     */
    record DrainProgress(String vmId, int running, long deadlineMs, String text) {}
}
