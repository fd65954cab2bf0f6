/**
 * Clients of model engines and plain services over the Vert.x HTTP client. This package does not choose endpoints and
 * does not retry.
 */
package io.radishwinch.server.engine;
