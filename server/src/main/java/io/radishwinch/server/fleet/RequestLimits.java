package io.radishwinch.server.fleet;

import io.radishwinch.server.proxy.RequestLimitListener;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the request limits that endpoints name in their responses. Thread-safe. */
final class RequestLimits implements RequestLimitListener {

    private final FleetLog log;
    private final Map<String, Double> perSByEndpoint = new ConcurrentHashMap<>();

    RequestLimits(FleetLog log) {
        this.log = log;
    }

    @Override
    public void responded(String endpointId, OptionalDouble requestLimitPerS) {
        if (requestLimitPerS.isEmpty()) {
            if (perSByEndpoint.remove(endpointId) != null) {
                log.stateChanged("endpoint-limit", endpointId, "none");
            }
        } else {
            Double known = perSByEndpoint.put(endpointId, requestLimitPerS.getAsDouble());
            if (known == null || known != requestLimitPerS.getAsDouble()) {
                log.stateChanged("endpoint-limit", endpointId, requestLimitPerS.getAsDouble() + " requests/s");
            }
        }
    }
}
