package io.radishwinch.server.fleet;

import io.radishwinch.core.model.LayerRange;
import java.util.Optional;

/**
 * Entry of an endpoint in the platform's list.
 *
 * @param instanceId name of the endpoint
 * @param incarnation number that identifies the start of the process; no state survives a restart
 * @param service service to which the endpoint belongs
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre
 * @param acceleratorKind kind of accelerator, or {@code none} for a plain service
 * @param slots number of requests that it runs concurrently
 * @param isLeaving whether it is about to stop
 * @param layers layers that it holds, or empty if it holds none
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

    /** Returns whether both entries describe the same process of an endpoint. */
    boolean isSameLifetime(EndpointEntry other) {
        return incarnation == other.incarnation && host.equals(other.host) && port == other.port;
    }

    /** Returns a copy with other layers. */
    EndpointEntry withLayers(Optional<LayerRange> newLayers) {
        return new EndpointEntry(
                instanceId, incarnation, service, host, port, dataCentre, acceleratorKind, slots, isLeaving, newLayers);
    }
}
