package io.radishwinch.server.fleet;

import io.radishwinch.server.proxy.ProxyDialect;
import io.radishwinch.server.route.RoutingConfig;
import io.vavr.control.Either;

/** Names and encodings of a deployment. */
public interface FleetDialect {

    /** Returns the headers between callers, routers and endpoints. */
    ProxyDialect proxy();

    /** Returns the prefix of the keys of endpoints in the platform's object API; the rest of a key is their name. */
    String endpointPrefix();

    /** Returns the prefix of the keys of the configuration. */
    String configPrefix();

    /** Returns the key of the configuration in force. */
    String configKey();

    /** Returns the prefix of the keys under which routers keep their own objects. */
    String routerObjectPrefix();

    /** Decodes the entry of an endpoint, or says what is wrong with it. */
    Either<String, EndpointEntry> decodeEndpoint(String instanceId, byte[] value);

    /** Decodes a configuration, or says what is wrong with it. */
    Either<String, RoutingConfig> decodeConfig(byte[] value);
}
