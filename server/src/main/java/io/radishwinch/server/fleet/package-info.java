/**
 * Router of a deployment whose platform provides the endpoint list and the configuration.
 *
 * <p>A {@code FleetDialect} decodes both from the platform's encoding. This package must not depend on a specific
 * encoding.
 */
package io.radishwinch.server.fleet;
