package io.radishwinch.cluster.configuration;

import java.util.Optional;

/** Validates one configuration object before it takes effect. */
@FunctionalInterface
public interface ConfigurationValidator {

    /**
     * Returns why the object is invalid, or empty if it is valid. The result must depend on the arguments only, so that
     * all routers agree.
     */
    Optional<String> problem(String key, byte[] value);
}
