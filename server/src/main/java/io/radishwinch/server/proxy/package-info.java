/**
 * Forwards requests to endpoints and answers back, byte for byte.
 *
 * <p>The names of headers and the meaning of answers are those of the deployment; a {@code ProxyDialect} translates
 * them.
 */
package io.radishwinch.server.proxy;
