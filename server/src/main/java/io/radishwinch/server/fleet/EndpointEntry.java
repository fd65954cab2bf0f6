package io.radishwinch.server.fleet;

import io.radishwinch.core.model.LayerRange;
import java.util.Optional;

/**
 * What the platform's list says of an endpoint.
 *
 * @param instanceId name of the endpoint
 * @param incarnation number of its start; an endpoint with the same name and another number knows nothing of before
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre
 * @param acceleratorKind kind of accelerator, or {@code none} for a plain service
 * @param slots requests that it runs at the same time
 * @param isLeaving whether it is about to stop
 * @param layers layers that it holds, or empty for none
 */
public record EndpointEntry(
        String instanceId,
        long incarnation,
        String service,
        String host,
        int port,
        String dataCentre,
        String acceleratorKind,
        int slots,
        boolean isLeaving,
        Optional<LayerRange> layers) {

    /** Returns whether this entry is of the same lifetime as another one of the same name. */
    boolean isSameLifetime(EndpointEntry other) {
        return incarnation == other.incarnation && host.equals(other.host) && port == other.port;
    }

    /** Returns a copy that holds other layers. */
    EndpointEntry withLayers(Optional<LayerRange> newLayers) {
        return new EndpointEntry(
                instanceId, incarnation, service, host, port, dataCentre, acceleratorKind, slots, isLeaving, newLayers);
    }
}
