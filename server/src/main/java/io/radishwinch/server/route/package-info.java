/** Routes by host and path prefix, and the configuration that they are part of. */
package io.radishwinch.server.route;
