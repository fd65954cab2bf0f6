/**
 * The router of a deployment whose platform lists the endpoints and the configuration.
 *
 * <p>Endpoints and configuration arrive in the platform's own encoding; a {@code FleetDialect} decodes them.
 */
package io.radishwinch.server.fleet;
