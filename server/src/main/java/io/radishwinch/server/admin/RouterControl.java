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
 * What the operators' interface needs of the router.
 *
 * <p>Methods are called on event loops of the operators' HTTP server and must not block. A failed {@code Uni} or
 * {@code Multi} is answered with status 503 and the message of the failure; {@link ControlException} selects the
 * status.
 */
public interface RouterControl {

    /** Returns the state of this router and what it knows of the fleet. */
    Uni<FleetStatus> status();

    /**
     * Explains what happened to a request that this router accepted.
     *
     * @return the explanation, or empty if this router does not remember the request
     */
    Uni<Optional<RequestExplanation>> explainRequest(String requestId);

    /** Explains how a caller is being served, or returns empty if there is no such contract. */
    Uni<Optional<CallerExplanation>> explainCaller(String caller);

    /** Reads one configuration object in effect. */
    Uni<Optional<StoredDocument>> getObject(ObjectKind kind, String name);

    /** Reads all configuration objects of a kind in effect, in name order. */
    Uni<List<StoredDocument>> listObjects(ObjectKind kind);

    /**
     * Writes an object if its version is the expected one. The text has been checked.
     *
     * @param expectedVersion version that the operator has seen, or 0 to create
     * @param change who changes it and when, to be stored with the object
     */
    Uni<ChangeResult> putObject(ObjectKind kind, String name, String text, long expectedVersion, ChangeStamp change);

    /**
     * Deletes an object if its version is the expected one.
     *
     * @param expectedVersion version that the operator has seen
     * @param change who deletes it and when
     */
    Uni<ChangeResult> deleteObject(ObjectKind kind, String name, long expectedVersion, ChangeStamp change);

    /**
     * Takes a VM out of service gracefully: no new work, running requests finish.
     *
     * @return what was started, or empty if no such VM is known
     */
    Uni<Optional<DrainProgress>> drainVm(String vmId, ChangeStamp change);

    /** Reads the summaries that the routers wrote for a day, this router's current one included. */
    Multi<DaySummary> daySummaries(LocalDate day);

    /** Returns the settings in effect by path, without secrets. */
    Map<String, String> settingsInEffect();

    /** Returns the highest throughput of each model's pool with its live endpoints, in tokens/s. */
    Map<String, Double> boundTokensPerSByPool();

    /** Returns the contracts in effect. */
    Collection<Contract> contracts();

    /** Returns whether the process works; false asks the platform to replace it. */
    boolean isHealthy();

    /** Returns why this router should receive no new callers, or empty if it is ready. */
    Optional<String> notReadyReason();

    /** Returns all metrics in the Prometheus text format. */
    String metricsText();

    /** Returns the current time, in ms since the epoch. */
    long nowMs();

    /**
     * State of one router and of the fleet as it sees it.
     *
     * @param routerId this router
     * @param dataCentre its data centre
     * @param release release of the program
     * @param startedAtMs start of the process, in ms since the epoch
     * @param configVersion version of the configuration in effect
     * @param platformReachable whether the last call to the object API succeeded
     * @param platformLastReachedAtMs time of the last successful call, in ms since the epoch, or 0
     * @param draining whether this router is shutting down
     * @param routers routers of the fleet
     * @param pools pools of models and services
     * @param ranks queued and running requests of this router by rank
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
     * One router as seen by another.
     *
     * @param routerId identifier
     * @param dataCentre data centre
     * @param state {@code alive}, {@code suspected}, {@code leaving} or {@code gone}
     * @param configVersion version of the configuration that it has in effect, or 0 if not known
     */
    record RouterStatus(String routerId, String dataCentre, String state, long configVersion) {}

    /**
     * Endpoints of one pool.
     *
     * @param pool model name, or {@code service:<name>}
     * @param live endpoints that receive work
     * @param ejected endpoints taken out for failures or latency
     * @param leaving endpoints that finish their work and leave
     * @param covered whether the live endpoints hold every layer
     * @param boundTokensPerS highest throughput of the live endpoints, in tokens/s
     */
    record PoolStatus(String pool, int live, int ejected, int leaving, boolean covered, double boundTokensPerS) {}

    /**
     * Work of one rank.
     *
     * @param rank wire name of the rank
     * @param queued requests waiting
     * @param running requests running
     */
    record RankStatus(String rank, int queued, int running) {}

    /**
     * What happened to one request.
     *
     * @param requestId identifier
     * @param caller caller
     * @param rank wire name of the rank
     * @param pool model or service
     * @param state {@code queued}, {@code running} or {@code finished}
     * @param verdict wire name of the verdict, or an empty string while it is not finished
     * @param reason wire name of the reason, or an empty string
     * @param summary outcome and cause in one or two sentences
     * @param advice what the caller or operator can do about it, or an empty string
     * @param steps decisions in order
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
     * @param atMs time, in ms since the epoch
     * @param text what was decided and why
     */
    record Step(long atMs, String text) {}

    /**
     * How a caller is being served by this router.
     *
     * @param caller caller
     * @param contractVersion version of its contract
     * @param summary its situation in one or two sentences
     * @param limits limits of the contract beside this router's share and current use
     * @param ranks service of the day by rank at this router
     * @param refusedByReason requests refused today at this router, by wire name of the reason
     */
    record CallerExplanation(
            String caller,
            long contractVersion,
            String summary,
            List<LimitUse> limits,
            List<CallerRank> ranks,
            Map<String, Long> refusedByReason) {}

    /**
     * Use of one limit.
     *
     * @param limit field of the contract, for example {@code limits.tokensPerS}
     * @param contract value in the contract, over the whole fleet
     * @param share this router's share of it
     * @param used current use at this router, in the same unit
     */
    record LimitUse(String limit, double contract, double share, double used) {}

    /**
     * Service of one rank of a caller.
     *
     * @param rank wire name of the rank
     * @param offered requests today
     * @param withinDeadline of these, answered within the deadline
     * @param queued waiting now
     * @param running running now
     */
    record CallerRank(String rank, long offered, long withinDeadline, int queued, int running) {}

    /**
     * A configuration object.
     *
     * @param name name
     * @param version version of its last write
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
         * Another change came first; nothing was written.
         *
         * @param winner the object in the store, or empty if it does not exist
         */
        record Conflict(Optional<StoredDocument> winner) implements ChangeResult {}
    }

    /**
     * State of a drain.
     *
     * @param vmId VM
     * @param running requests that still run on it, as far as known
     * @param deadlineMs time by which they must end, in ms since the epoch
     * @param text what was done, in one sentence
     */
    record DrainProgress(String vmId, int running, long deadlineMs, String text) {}
}
