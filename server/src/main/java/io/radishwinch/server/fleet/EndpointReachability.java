package io.radishwinch.server.fleet;

import io.radishwinch.server.proxy.EndpointContact;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Tells an endpoint that is lost from a link that is: before an endpoint is taken out of use, this router connects to
 * others, and if it reaches none of them, the fault is likely its own. It is then isolated until it reaches endpoints
 * again.
 *
 * <p>Only new connections count, because open ones may live on when a partition begins. Used on the control thread.
 */
final class EndpointReachability {

    /** Number of other endpoints that are tried before this router counts as isolated. */
    private static final int PROBES = 4;

    /**
     * Number of them that are taken from the router's own data centre first, because a partition between data centres
     * does not isolate it.
     */
    private static final int LOCAL_PROBES = 2;

    /** Number of other endpoints below which nothing can be told about the link. */
    private static final int MIN_PROBES = 2;

    /** Time for which a connection shows that the link works, before an endpoint is taken out of use, in ms. */
    private static final long CONFIRMATION_VALIDITY_MS = 200;

    /** Time for which a connection shows that the link works otherwise, in ms; bounds the rate of the probes. */
    private static final long SUSPICION_INTERVAL_MS = 1_000;

    /** Interval between two attempts of an isolated router to reach endpoints, in ms. */
    private static final long RECOVERY_INTERVAL_MS = 300;

    /** Time within which a probe completes or fails, in ms; a longer one means that this process was paused. */
    private static final long MAX_PROBE_DURATION_MS = 1_000;

    private final EndpointControl endpoints;
    private final String dataCentre;
    private final Function<Predicate<String>, List<EndpointContact>> contactsByDataCentre;
    private final Random random;
    private final LongSupplier clockMs;
    private final Consumer<Boolean> listener;
    /** Tasks that take endpoints out of use once others have responded. */
    private final List<Runnable> waiting = new ArrayList<>();

    private boolean isProbing;
    private long connectedAtMs = Long.MIN_VALUE / 2;
    private long nextRecoveryAtMs;
    private volatile boolean isIsolated;

    /**
     * Creates the state of a router that is not isolated.
     *
     * @param dataCentre data centre of this router
     * @param contactsByDataCentre returns the endpoints in use in the data centres that a predicate accepts
     * @param listener called with the new state when this router becomes isolated or reaches endpoints again
     */
    EndpointReachability(
            EndpointControl endpoints,
            String dataCentre,
            Function<Predicate<String>, List<EndpointContact>> contactsByDataCentre,
            Random random,
            LongSupplier clockMs,
            Consumer<Boolean> listener) {
        this.endpoints = endpoints;
        this.dataCentre = dataCentre;
        this.contactsByDataCentre = contactsByDataCentre;
        this.random = random;
        this.clockMs = clockMs;
        this.listener = listener;
    }

    /** Returns whether this router reaches no endpoint; safe for use by any thread. */
    boolean isIsolated() {
        return isIsolated;
    }

    /**
     * Runs a task unless this router is found to be isolated.
     *
     * @param endpointId endpoint that did not respond
     * @param whenOthersRespond takes the endpoint out of use
     */
    void confirm(String endpointId, Runnable whenOthersRespond) {
        long nowMs = clockMs.getAsLong();
        if (isIsolated) {
            return;
        }
        if (nowMs - connectedAtMs < CONFIRMATION_VALIDITY_MS) {
            whenOthersRespond.run();
            return;
        }
        waiting.add(whenOthersRespond);
        if (!isProbing) {
            probe(endpointId, nowMs);
        }
    }

    /**
     * Checks the link because an endpoint could not be used.
     *
     * @param endpointId the endpoint, or an empty string if none was available
     */
    void suspect(String endpointId) {
        long nowMs = clockMs.getAsLong();
        if (!isIsolated && !isProbing && nowMs - connectedAtMs >= SUSPICION_INTERVAL_MS) {
            probe(endpointId, nowMs);
        }
    }

    /** Tries to reach endpoints while this router is isolated. */
    void tick(long nowMs) {
        if (isIsolated && !isProbing && nowMs >= nextRecoveryAtMs) {
            nextRecoveryAtMs = nowMs + RECOVERY_INTERVAL_MS;
            probe("", nowMs);
        }
    }

    private void probe(String excludedId, long nowMs) {
        List<EndpointContact> chosen = chooseProbes(excludedId);
        if (chosen.size() < MIN_PROBES) {
            setIsolated(false);
            releaseWaiting();
            return;
        }
        isProbing = true;
        Round round = new Round(chosen.size(), nowMs);
        for (EndpointContact contact : chosen) {
            Uni.createFrom()
                    .deferred(() -> endpoints.connect(contact))
                    .subscribe()
                    .with(done -> round.onConnected(), error -> round.onFailed());
        }
    }

    private List<EndpointContact> chooseProbes(String excludedId) {
        List<EndpointContact> chosen = new ArrayList<>();
        addProbes(chosen, contactsByDataCentre.apply(dataCentre::equals), excludedId, LOCAL_PROBES);
        addProbes(chosen, contactsByDataCentre.apply(name -> true), excludedId, PROBES);
        return chosen;
    }

    private void addProbes(List<EndpointContact> chosen, List<EndpointContact> from, String excludedId, int maxChosen) {
        List<EndpointContact> others = new ArrayList<>(from);
        others.removeIf(contact -> contact.endpointId().equals(excludedId) || chosen.contains(contact));
        Collections.shuffle(others, random);
        chosen.addAll(others.subList(0, Math.min(Math.max(0, maxChosen - chosen.size()), others.size())));
    }

    private void setIsolated(boolean isNowIsolated) {
        if (isIsolated != isNowIsolated) {
            isIsolated = isNowIsolated;
            listener.accept(isNowIsolated);
        }
    }

    private void releaseWaiting() {
        List<Runnable> released = List.copyOf(waiting);
        waiting.clear();
        List<RuntimeException> failures = new ArrayList<>();
        for (Runnable task : released) {
            try {
                task.run();
            } catch (RuntimeException e) {
                failures.add(e);
            }
        }
        if (!failures.isEmpty()) {
            throw failures.get(0);
        }
    }

    /** Connections to several endpoints at once; the first that succeeds decides, or the last that fails. */
    private final class Round {
        private final long startedAtMs;
        private int pending;
        private boolean isDecided;

        Round(int probes, long startedAtMs) {
            this.pending = probes;
            this.startedAtMs = startedAtMs;
        }

        void onConnected() {
            if (isDecided) {
                return;
            }
            isDecided = true;
            isProbing = false;
            connectedAtMs = clockMs.getAsLong();
            setIsolated(false);
            releaseWaiting();
        }

        void onFailed() {
            pending--;
            if (isDecided || pending > 0) {
                return;
            }
            isDecided = true;
            isProbing = false;
            waiting.clear();
            if (clockMs.getAsLong() - startedAtMs > MAX_PROBE_DURATION_MS) {
                // This process was paused, so the failures say nothing about the link.
                return;
            }
            nextRecoveryAtMs = clockMs.getAsLong() + RECOVERY_INTERVAL_MS;
            setIsolated(true);
        }
    }
}
