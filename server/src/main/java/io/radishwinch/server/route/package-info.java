/**
 * Routes by host and path prefix, and the configuration that contains them. This package must not send or receive
 * requests.
 */
package io.radishwinch.server.route;
