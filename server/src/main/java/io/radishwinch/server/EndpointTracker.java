package io.radishwinch.server;

import io.radishwinch.cluster.platform.PlatformClient.Vm;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.EndpointSpec;
import io.radishwinch.core.model.Holding;
import io.radishwinch.core.model.LoadReport;
import io.radishwinch.server.engine.CacheEvents;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.EngineClient;
import io.radishwinch.server.engine.EngineLoad;
import io.radishwinch.server.http.EndpointLookup;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/**
 * Tracks the endpoints from the VM list and their state from load reports. Runs on the control thread; addresses may be
 * read by any thread.
 */
public final class EndpointTracker implements EndpointLookup, PeerStateBridge.PeerEndpointListener {
    /** Consecutive failed load polls after which an endpoint counts as dead. */
    private static final int MAX_FAILED_POLLS = 3;

    /** Consecutive VM lists without an endpoint after which it counts as leaving. */
    private static final int MAX_MISSED_LISTINGS = 2;

    /** Minimum factor by which a link's delay must change before the link is reported again. */
    private static final double LINK_CHANGE_FACTOR = 1.2;

    private static final String ROLE_ENGINE = "engine";
    private static final String ROLE_SERVICE = "service";

    private final ControlLoop control;
    private final EngineClient client;
    private final Map<String, TrackedEndpoint> endpoints = new HashMap<>();
    private final Map<String, EndpointAddress> addresses = new ConcurrentHashMap<>();

    /** Creates a tracker without endpoints. */
    public EndpointTracker(ControlLoop control, EngineClient client) {
        this.control = control;
        this.client = client;
    }

    @Override
    public EndpointAddress address(String endpointId) {
        return addresses.get(endpointId);
    }

    /** Returns the endpoint's entry in the VM list, or null if the endpoint is unknown. */
    public Vm vm(String endpointId) {
        TrackedEndpoint endpoint = endpoints.get(endpointId);
        return endpoint == null ? null : endpoint.vm;
    }

    /** Returns the pools of which the endpoint holds layers according to its latest load report. */
    public Set<String> pools(String endpointId) {
        TrackedEndpoint endpoint = endpoints.get(endpointId);
        return endpoint == null ? Set.of() : endpoint.pools;
    }

    /**
     * Applies the VM list, which lags and may be incomplete. An endpoint that is missing from two consecutive lists
     * counts as leaving, unless more than half of all endpoints are missing from a list.
     */
    public void applyVmList(List<Vm> vms) {
        Set<String> listed = new HashSet<>();
        for (Vm vm : vms) {
            if (!vm.role().equals(ROLE_ENGINE) && !vm.role().equals(ROLE_SERVICE)) {
                continue;
            }
            listed.add(vm.id());
            TrackedEndpoint endpoint = endpoints.computeIfAbsent(vm.id(), id -> new TrackedEndpoint());
            endpoint.vm = vm;
            endpoint.address = new EndpointAddress(vm.id(), vm.host(), vm.port());
            addresses.put(vm.id(), endpoint.address);
            if (vm.isLeaving()) {
                markLeaving(endpoint);
            }
        }
        boolean isPlausible = listed.size() * 2 >= endpoints.size();
        for (Map.Entry<String, TrackedEndpoint> entry : endpoints.entrySet()) {
            TrackedEndpoint endpoint = entry.getValue();
            endpoint.missedListings = listed.contains(entry.getKey()) ? 0 : endpoint.missedListings + 1;
            if (isPlausible && endpoint.missedListings >= MAX_MISSED_LISTINGS) {
                markLeaving(endpoint);
            }
        }
        endpoints.values().removeIf(this::removeIfUnlisted);
    }

    /** Polls the load report of every endpoint; called once per load interval. */
    public void pollLoads() {
        endpoints.values().forEach(this::pollLoad);
    }

    /** Polls the prompt-prefix cache events of every joined engine. */
    public void pollCacheEvents() {
        for (TrackedEndpoint endpoint : endpoints.values()) {
            if (endpoint.vm.role().equals(ROLE_ENGINE) && endpoint.isJoined) {
                client.fetchCacheEvents(endpoint.address, endpoint.cacheSequence)
                        .subscribe()
                        .with(events -> onCacheEvents(endpoint, events), error -> {});
            }
        }
    }

    /** Immediately polls an endpoint that failed an attempt; if the poll fails, the endpoint counts as dead. */
    public void checkLiveness(String endpointId) {
        TrackedEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint != null && endpoint.isJoined) {
            endpoint.failedPolls = MAX_FAILED_POLLS - 1;
            endpoint.isPolling = false;
            pollLoad(endpoint);
        }
    }

    /** Marks an endpoint as leaving, on behalf of an operator or a peer. */
    @Override
    public void endpointLeaving(String endpointId) {
        TrackedEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint != null) {
            markLeaving(endpoint);
        }
    }

    @Override
    public void endpointUnreachable(String endpointId) {
        checkLiveness(endpointId);
    }

    private boolean removeIfUnlisted(TrackedEndpoint endpoint) {
        if (endpoint.missedListings < MAX_MISSED_LISTINGS || endpoint.isJoined) {
            return false;
        }
        addresses.remove(endpoint.vm.id());
        return true;
    }

    private void pollLoad(TrackedEndpoint endpoint) {
        if (endpoint.isPolling) {
            return;
        }
        endpoint.isPolling = true;
        int pollId = ++endpoint.pollCount;
        client.fetchLoad(endpoint.address)
                .subscribe()
                .with(load -> onLoad(endpoint, pollId, load), error -> onLoadFailure(endpoint, pollId));
    }

    private void onLoad(TrackedEndpoint endpoint, int pollId, EngineLoad load) {
        if (pollId != endpoint.pollCount) {
            return;
        }
        endpoint.isPolling = false;
        endpoint.failedPolls = 0;
        if (!endpoint.isJoined) {
            endpoint.isJoined = true;
            control.post(new Event.EndpointJoined(spec(endpoint.vm, load)));
            endpoint.linkDelaysUs.clear();
            if (endpoint.isLeaving) {
                control.post(new Event.EndpointLeaving(endpoint.vm.id()));
            }
        }
        if (load.isLeaving()) {
            markLeaving(endpoint);
        }
        endpoint.pools = load.report().holdings().stream().map(Holding::pool).collect(Collectors.toSet());
        control.post(new Event.LoadReported(withRouterTime(load.report())));
        load.links().forEach(link -> onLink(endpoint, link));
    }

    private LoadReport withRouterTime(LoadReport report) {
        return new LoadReport(
                report.endpointId(),
                report.holdings(),
                report.running(),
                report.queued(),
                report.kvFreeBytes(),
                report.layerTimeUs(),
                control.nowMs());
    }

    private void onLink(TrackedEndpoint endpoint, EngineLoad.Link link) {
        double knownDelayUs = endpoint.linkDelaysUs.getOrDefault(link.toEndpointId(), 0.0);
        double delayUs = Math.max(1, link.delayUs());
        if (delayUs > knownDelayUs * LINK_CHANGE_FACTOR || delayUs * LINK_CHANGE_FACTOR < knownDelayUs) {
            endpoint.linkDelaysUs.put(link.toEndpointId(), delayUs);
            control.post(
                    new Event.LinkMeasured(endpoint.vm.id(), link.toEndpointId(), link.delayUs(), link.tokensPerS()));
        }
    }

    private void onLoadFailure(TrackedEndpoint endpoint, int pollId) {
        if (pollId != endpoint.pollCount) {
            return;
        }
        endpoint.isPolling = false;
        endpoint.failedPolls++;
        if (endpoint.isJoined && endpoint.failedPolls >= MAX_FAILED_POLLS) {
            endpoint.isJoined = false;
            boolean isCrash = !endpoint.isLeaving;
            control.post(new Event.EndpointRemoved(endpoint.vm.id(), isCrash));
        }
    }

    private void onCacheEvents(TrackedEndpoint endpoint, CacheEvents events) {
        if (events.nextSequence() == endpoint.cacheSequence && !events.hasGap()) {
            return;
        }
        endpoint.cacheSequence = events.nextSequence();
        control.post(new Event.CacheReported(endpoint.vm.id(), events.added(), events.removed(), events.hasGap()));
    }

    private void markLeaving(TrackedEndpoint endpoint) {
        if (!endpoint.isLeaving) {
            endpoint.isLeaving = true;
            if (endpoint.isJoined) {
                control.post(new Event.EndpointLeaving(endpoint.vm.id()));
            }
        }
    }

    private static EndpointSpec spec(Vm vm, EngineLoad load) {
        return new EndpointSpec(
                vm.id(),
                vm.dataCentre(),
                vm.host(),
                vm.port(),
                load.acceleratorKind(),
                load.slots(),
                load.honoursFencing(),
                load.checksOrders());
    }

    /** Known state of one endpoint. */
    private static final class TrackedEndpoint {
        private final Map<String, Double> linkDelaysUs = new HashMap<>();
        private Set<String> pools = Set.of();
        private Vm vm;
        private EndpointAddress address;
        private int missedListings;
        private boolean isJoined;
        private boolean isLeaving;
        private boolean isPolling;
        private int pollCount;
        private int failedPolls;
        private long cacheSequence;
    }
}
