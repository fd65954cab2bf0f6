package io.radishwinch.standins;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.standins.PlatformStandIn.Vm;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A small deployment of stand-ins on loopback: a platform, engines and two plain services.
 *
 * <p>The default engines have three accelerator kinds, overlapping layer ranges and links of different speed. The VM
 * list contains the engines and services.
 */
public final class StandInFleet implements AutoCloseable {
    /** Model that the engines hold. */
    public static final String MODEL = "dreamcoach-24l";

    /** Layers of {@link #MODEL}. */
    public static final int MODEL_LAYERS = 24;

    /** Name of the plain service for charges. */
    public static final String BILLING = "subscriptions";

    /** Name of the plain service for shipments. */
    public static final String SHIPPING = "orders";

    /** Bearer key that {@code medium-2} requires with orders. */
    public static final String ORDER_KEY = "stand-in-order-key";

    private static final String DATA_CENTRE = "dc1";
    private static final int SERVICE_SLOTS = 64;
    private static final EngineConfig.Link SAME_KIND_LINK = new EngineConfig.Link(50, 100_000);
    private static final EngineConfig.Link CROSS_RACK_LINK = new EngineConfig.Link(500, 20_000);
    private static final EngineConfig.Link SLOW_LINK = new EngineConfig.Link(5_000, 1_000);

    private final Vertx vertx;
    private final PlatformStandIn platform;
    private final List<EngineStandIn> engines = new CopyOnWriteArrayList<>();
    private final List<ServiceStandIn> services = new ArrayList<>();
    private final ExecutionLedger ledger = new ExecutionLedger();

    private StandInFleet(Vertx vertx, List<EngineConfig> configs) {
        this.vertx = vertx;
        platform = PlatformStandIn.start(vertx, 0, PlatformStandIn.DEFAULT_HISTORY_SIZE);
        configs.forEach(this::join);
        for (String name : List.of(BILLING, SHIPPING)) {
            ServiceStandIn service = ServiceStandIn.start(vertx, name + "-1", name, 0, SERVICE_SLOTS);
            services.add(service);
            platform.putVm(
                    new Vm(service.id(), DATA_CENTRE, StandInServer.LOOPBACK, service.port(), "service", name, false));
        }
    }

    /** Starts a deployment with the engines of {@link #defaultEngines}. */
    public static StandInFleet start(Vertx vertx) {
        return start(vertx, defaultEngines());
    }

    /** Starts a deployment with the given engines. */
    public static StandInFleet start(Vertx vertx, List<EngineConfig> engines) {
        return new StandInFleet(vertx, engines);
    }

    /**
     * Returns the configurations of nine engines.
     *
     * <p>Two large engines hold half of the layers each, three medium engines overlapping ranges and four small engines
     * a quarter each. The engine small-4 ignores fencing tokens, and medium-2 checks the key of orders.
     */
    public static List<EngineConfig> defaultEngines() {
        List<EngineConfig> engines = new ArrayList<>();
        engines.add(EngineConfig.of("large-1", "large", 40, new LayerRange(0, 12)));
        engines.add(EngineConfig.of("large-2", "large", 40, new LayerRange(12, 24)));
        engines.add(EngineConfig.of("medium-1", "medium", 90, new LayerRange(0, 10)));
        engines.add(
                EngineConfig.of("medium-2", "medium", 90, new LayerRange(6, 18)).withOrderKey(ORDER_KEY));
        engines.add(EngineConfig.of("medium-3", "medium", 90, new LayerRange(14, 24)));
        engines.add(
                EngineConfig.of("small-1", "small", 200, new LayerRange(0, 6)).withSlots(8));
        engines.add(
                EngineConfig.of("small-2", "small", 200, new LayerRange(6, 12)).withSlots(8));
        engines.add(
                EngineConfig.of("small-3", "small", 200, new LayerRange(12, 18)).withSlots(8));
        engines.add(EngineConfig.of("small-4", "small", 200, new LayerRange(18, 24))
                .withSlots(8)
                .withFencing(false));
        List<EngineConfig> linkedEngines = new ArrayList<>();
        for (EngineConfig engine : engines) {
            linkedEngines.add(engine.withLinks(linksOf(engine, engines)));
        }
        return linkedEngines;
    }

    private static Map<String, EngineConfig.Link> linksOf(EngineConfig from, List<EngineConfig> all) {
        Map<String, EngineConfig.Link> links = new HashMap<>();
        for (EngineConfig to : all) {
            if (to.id().equals(from.id())) {
                continue;
            }
            boolean sameKind = to.acceleratorKind().equals(from.acceleratorKind());
            boolean small = to.acceleratorKind().equals("small")
                    || from.acceleratorKind().equals("small");
            links.put(to.id(), sameKind ? SAME_KIND_LINK : small ? SLOW_LINK : CROSS_RACK_LINK);
        }
        return links;
    }

    /** Returns the platform stand-in. */
    public PlatformStandIn platform() {
        return platform;
    }

    /** Returns the engines that have not been removed. */
    public List<EngineStandIn> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns an engine by its endpoint identifier.
     *
     * @throws IllegalArgumentException if there is no such engine
     */
    public EngineStandIn engine(String id) {
        return engines.stream()
                .filter(engine -> engine.id().equals(id))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("the fleet has no engine " + id));
    }

    /** Returns the plain services. */
    public List<ServiceStandIn> services() {
        return List.copyOf(services);
    }

    /**
     * Returns a plain service by its service name.
     *
     * @throws IllegalArgumentException if there is no such service
     */
    public ServiceStandIn service(String name) {
        return services.stream()
                .filter(service -> service.service().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("the fleet has no service " + name));
    }

    /** Starts a further engine and adds it to the VM list. */
    public EngineStandIn join(EngineConfig config) {
        EngineStandIn engine = EngineStandIn.start(vertx, config, ledger);
        engines.add(engine);
        platform.putVm(vm(engine));
        return engine;
    }

    /** Makes an engine refuse new attempts and marks it as leaving in its load reports and in the VM list. */
    public void leave(String id) {
        EngineStandIn engine = engine(id);
        engine.setLeaving(true);
        platform.putVm(vm(engine).asLeaving());
    }

    /** Stops an engine permanently and removes it from the VM list. */
    public void remove(String id) {
        EngineStandIn engine = engine(id);
        engines.remove(engine);
        engine.close();
        platform.removeVm(id);
    }

    /** Returns the VM of an engine, as the platform lists it. */
    public static Vm vm(EngineStandIn engine) {
        return new Vm(
                engine.id(), engine.config().dataCentre(), StandInServer.LOOPBACK, engine.port(), "engine", "", false);
    }

    /** Returns the ledger of the layers that the engines executed. */
    public ExecutionLedger ledger() {
        return ledger;
    }

    @Override
    public void close() {
        engines.forEach(EngineStandIn::close);
        services.forEach(ServiceStandIn::close);
        platform.close();
    }
}
