package io.radishwinch.cluster.configuration;

import java.util.Optional;

/** Check of one configuration object before it takes effect. */
@FunctionalInterface
public interface ConfigurationValidator {

    /** Returns why the object must be refused, or empty if it is valid; depends on the arguments only. */
    Optional<String> problem(String key, byte[] value);
}
