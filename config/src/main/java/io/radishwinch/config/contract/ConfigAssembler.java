package io.radishwinch.config.contract;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.ServiceSpec;
import java.util.HashMap;
import java.util.Map;

/** Builds the configuration in effect from the objects of the platform. */
public final class ConfigAssembler {
    private ConfigAssembler() {}

    /**
     * Builds a configuration. Objects that do not parse are left out; writers refuse them, so they occur only when a
     * newer release wrote them.
     *
     * @param version highest version among the objects
     * @param objects content by platform key
     */
    public static FleetConfig assemble(long version, Map<String, String> objects) {
        Map<String, Contract> contracts = new HashMap<>();
        Map<String, ModelSpec> models = new HashMap<>();
        Map<String, ServiceSpec> services = new HashMap<>();
        objects.forEach((key, text) -> ObjectKind.fromKey(key).ifPresent(kind -> {
            switch (kind) {
                case CONTRACT -> ConfigObjectReader.readContract(key, text).forEach(c -> contracts.put(c.caller(), c));
                case MODEL -> ConfigObjectReader.readModel(key, text).forEach(m -> models.put(m.name(), m));
                case SERVICE -> ConfigObjectReader.readService(key, text).forEach(s -> services.put(s.name(), s));
            }
        }));
        return new FleetConfig(version, contracts, models, services);
    }
}
