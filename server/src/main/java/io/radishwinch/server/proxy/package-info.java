/**
 * Forwards requests to endpoints and returns their responses without changing the bodies.
 *
 * <p>The package contains no header names of a deployment; a {@code ProxyDialect} translates headers and response
 * heads.
 */
package io.radishwinch.server.proxy;
