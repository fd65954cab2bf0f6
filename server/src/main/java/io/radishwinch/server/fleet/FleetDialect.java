package io.radishwinch.server.fleet;

import io.radishwinch.server.proxy.ProxyDialect;
import io.radishwinch.server.route.RoutingConfig;
import io.vavr.control.Either;

/** Defines the key names and encodings that a deployment's platform uses. */
public interface FleetDialect {

    /** Returns the header names between callers, routers and endpoints. */
    ProxyDialect proxy();

    /** Returns the key prefix of endpoints in the platform's object API; the rest of a key is the endpoint's name. */
    String endpointPrefix();

    /** Returns the key prefix of configuration objects. */
    String configPrefix();

    /** Returns the key of the configuration in effect. */
    String configKey();

    /** Returns the key prefix of objects that routers store for themselves. */
    String routerObjectPrefix();

    /** Decodes the entry of an endpoint, or returns a description of the error. */
    Either<String, EndpointEntry> decodeEndpoint(String instanceId, byte[] value);

    /**
     * Returns the version that a configuration itself names, or a description of the error. It increases with each
     * configuration and, unlike the version of the store, is never given to another one.
     */
    Either<String, Long> configVersion(byte[] value);

    /** Decodes a configuration, or returns a description of the error. */
    Either<String, RoutingConfig> decodeConfig(byte[] value);
}
