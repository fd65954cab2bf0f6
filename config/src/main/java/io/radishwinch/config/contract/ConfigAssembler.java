package io.radishwinch.config.contract;

import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.ServiceSpec;
import java.util.HashMap;
import java.util.Map;

/** Assembles the configuration of the fleet from the objects stored on the platform. */
public final class ConfigAssembler {
    private ConfigAssembler() {}

    /**
     * Builds a configuration. Objects that cannot be parsed are skipped. Routers reject them on write, so only a newer
     * release can have written them.
     *
     * @param version highest version among the objects
     * @param objects content of the objects by platform key
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
