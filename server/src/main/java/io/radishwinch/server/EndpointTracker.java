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
 * Follows the endpoints: which exist, by the VM list, and how they are, by their load reports. Runs on the control
 * thread; addresses may be read by any thread.
 */
public final class EndpointTracker implements EndpointLookup, SharedState.EndpointNews {
    /** Failed load readings in a row after which an endpoint counts as dead. */
    private static final int MAX_FAILED_READINGS = 3;

    /** Readings of the VM list without an endpoint after which it counts as leaving. */
    private static final int MAX_MISSED_READINGS = 2;

    /** A link is reported again when its delay changed by more than this factor. */
    private static final double LINK_CHANGE_FACTOR = 1.2;

    private static final String ROLE_ENGINE = "engine";
    private static final String ROLE_SERVICE = "service";

    private final ControlLoop control;
    private final EngineClient client;
    private final Map<String, Tracked> tracked = new HashMap<>();
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

    /** Returns the endpoint's entry of the VM list, or null if it is not known. */
    public Vm vm(String endpointId) {
        Tracked endpoint = tracked.get(endpointId);
        return endpoint == null ? null : endpoint.vm;
    }

    /** Returns the pools of which the endpoint holds layers, by its last load report. */
    public Set<String> pools(String endpointId) {
        Tracked endpoint = tracked.get(endpointId);
        return endpoint == null ? Set.of() : endpoint.pools;
    }

    /**
     * Applies a reading of the VM list. The list lags, and one reading may be incomplete: an endpoint counts as leaving
     * when it is missing twice in a row, but not when more than half of all endpoints are missing at once.
     */
    public void vmsListed(List<Vm> vms) {
        Set<String> listed = new HashSet<>();
        for (Vm vm : vms) {
            if (!vm.role().equals(ROLE_ENGINE) && !vm.role().equals(ROLE_SERVICE)) {
                continue;
            }
            listed.add(vm.id());
            Tracked endpoint = tracked.computeIfAbsent(vm.id(), id -> new Tracked());
            endpoint.vm = vm;
            endpoint.address = new EndpointAddress(vm.id(), vm.host(), vm.port());
            addresses.put(vm.id(), endpoint.address);
            if (vm.leaving()) {
                leaving(endpoint);
            }
        }
        boolean plausible = listed.size() * 2 >= tracked.size();
        for (Map.Entry<String, Tracked> entry : tracked.entrySet()) {
            Tracked endpoint = entry.getValue();
            endpoint.missedReadings = listed.contains(entry.getKey()) ? 0 : endpoint.missedReadings + 1;
            if (plausible && endpoint.missedReadings >= MAX_MISSED_READINGS) {
                leaving(endpoint);
            }
        }
        tracked.values().removeIf(this::isForgotten);
    }

    /** Reads the load of every endpoint; called once in each load interval. */
    public void readLoads() {
        tracked.values().forEach(this::readLoad);
    }

    /** Reads the prompt-prefix cache events of every engine. */
    public void readCacheEvents() {
        for (Tracked endpoint : tracked.values()) {
            if (endpoint.vm.role().equals(ROLE_ENGINE) && endpoint.joined) {
                client.cacheEvents(endpoint.address, endpoint.cacheSequence)
                        .subscribe()
                        .with(events -> cacheRead(endpoint, events), error -> {});
            }
        }
    }

    /**
     * Checks at once whether an endpoint that failed an attempt is dead, without waiting for the next load readings.
     */
    public void suspect(String endpointId) {
        Tracked endpoint = tracked.get(endpointId);
        if (endpoint != null && endpoint.joined) {
            endpoint.failedReadings = MAX_FAILED_READINGS - 1;
            endpoint.reading = false;
            readLoad(endpoint);
        }
    }

    /** Marks an endpoint as leaving, by an operator or a peer. */
    @Override
    public void leaving(String endpointId) {
        Tracked endpoint = tracked.get(endpointId);
        if (endpoint != null) {
            leaving(endpoint);
        }
    }

    @Override
    public void unreachable(String endpointId) {
        suspect(endpointId);
    }

    private boolean isForgotten(Tracked endpoint) {
        if (endpoint.missedReadings < MAX_MISSED_READINGS || endpoint.joined) {
            return false;
        }
        addresses.remove(endpoint.vm.id());
        return true;
    }

    private void readLoad(Tracked endpoint) {
        if (endpoint.reading) {
            return;
        }
        endpoint.reading = true;
        int reading = ++endpoint.readings;
        client.load(endpoint.address)
                .subscribe()
                .with(load -> loadRead(endpoint, reading, load), error -> loadFailed(endpoint, reading));
    }

    private void loadRead(Tracked endpoint, int reading, EngineLoad load) {
        if (reading != endpoint.readings) {
            return;
        }
        endpoint.reading = false;
        endpoint.failedReadings = 0;
        if (!endpoint.joined) {
            endpoint.joined = true;
            control.post(new Event.EndpointJoined(spec(endpoint.vm, load)));
            endpoint.linkDelaysUs.clear();
            if (endpoint.leaving) {
                control.post(new Event.EndpointLeaving(endpoint.vm.id()));
            }
        }
        if (load.leaving()) {
            leaving(endpoint);
        }
        endpoint.pools = load.report().holdings().stream().map(Holding::pool).collect(Collectors.toSet());
        control.post(new Event.LoadReported(atRouterTime(load.report())));
        load.links().forEach(link -> linkRead(endpoint, link));
    }

    private LoadReport atRouterTime(LoadReport report) {
        return new LoadReport(
                report.endpointId(),
                report.holdings(),
                report.running(),
                report.queued(),
                report.kvFreeBytes(),
                report.layerTimeUs(),
                control.nowMs());
    }

    private void linkRead(Tracked endpoint, EngineLoad.Link link) {
        double known = endpoint.linkDelaysUs.getOrDefault(link.toEndpointId(), 0.0);
        double delayUs = Math.max(1, link.delayUs());
        if (delayUs > known * LINK_CHANGE_FACTOR || delayUs * LINK_CHANGE_FACTOR < known) {
            endpoint.linkDelaysUs.put(link.toEndpointId(), delayUs);
            control.post(
                    new Event.LinkMeasured(endpoint.vm.id(), link.toEndpointId(), link.delayUs(), link.tokensPerS()));
        }
    }

    private void loadFailed(Tracked endpoint, int reading) {
        if (reading != endpoint.readings) {
            return;
        }
        endpoint.reading = false;
        endpoint.failedReadings++;
        if (endpoint.joined && endpoint.failedReadings >= MAX_FAILED_READINGS) {
            endpoint.joined = false;
            boolean crashed = !endpoint.leaving;
            control.post(new Event.EndpointRemoved(endpoint.vm.id(), crashed));
        }
    }

    private void cacheRead(Tracked endpoint, CacheEvents events) {
        if (events.next() == endpoint.cacheSequence && !events.gap()) {
            return;
        }
        endpoint.cacheSequence = events.next();
        control.post(new Event.CacheReported(endpoint.vm.id(), events.added(), events.removed(), events.gap()));
    }

    private void leaving(Tracked endpoint) {
        if (!endpoint.leaving) {
            endpoint.leaving = true;
            if (endpoint.joined) {
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

    /** What is known of one endpoint. */
    private static final class Tracked {
        private final Map<String, Double> linkDelaysUs = new HashMap<>();
        private Set<String> pools = Set.of();
        private Vm vm;
        private EndpointAddress address;
        private int missedReadings;
        private boolean joined;
        private boolean leaving;
        private boolean reading;
        private int readings;
        private int failedReadings;
        private long cacheSequence;
    }
}
