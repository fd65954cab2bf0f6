/** Ports to model engines and plain services, and their implementations on the Vert.x HTTP client. */
package io.radishwinch.server.engine;
