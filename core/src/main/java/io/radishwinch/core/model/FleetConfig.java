package io.radishwinch.core.model;

import java.util.HashMap;
import java.util.Map;

/**
 * Configuration of the fleet. Instances are immutable; a change creates a new instance.
 *
 * @param version highest platform version of its objects
 * @param contracts contracts by caller
 * @param models models by name
 * @param services plain services by name
 * @param enginePools engine pools by model name; placement does not plan the layout of a model without an entry
 */
public record FleetConfig(
        long version,
        Map<String, Contract> contracts,
        Map<String, ModelSpec> models,
        Map<String, ServiceSpec> services,
        Map<String, EnginePoolSpec> enginePools) {

    /** Copies the maps. */
    public FleetConfig {
        contracts = Map.copyOf(contracts);
        models = Map.copyOf(models);
        services = Map.copyOf(services);
        enginePools = Map.copyOf(enginePools);
    }

    /** Creates a configuration without engine pools. */
    public FleetConfig(
            long version,
            Map<String, Contract> contracts,
            Map<String, ModelSpec> models,
            Map<String, ServiceSpec> services) {
        this(version, contracts, models, services, Map.of());
    }

    /** Returns a configuration without objects. */
    public static FleetConfig empty() {
        return new FleetConfig(0, Map.of(), Map.of(), Map.of());
    }

    /** Returns a copy with the given version and with the contract added or replaced. */
    public FleetConfig withContract(long newVersion, Contract contract) {
        Map<String, Contract> copy = new HashMap<>(contracts);
        copy.put(contract.caller(), contract);
        return new FleetConfig(newVersion, copy, models, services, enginePools);
    }

    /**
     * Returns the pool of a model or plain service, or null if it is not configured.
     *
     * @param name model name, or {@code service:<name>}
     */
    public ModelSpec pool(String name) {
        if (name.startsWith(ModelSpec.SERVICE_PREFIX)) {
            String service = name.substring(ModelSpec.SERVICE_PREFIX.length());
            return services.containsKey(service) ? ModelSpec.forService(service) : null;
        }
        return models.get(name);
    }
}
