/** The platform port over HTTP. */
package io.radishwinch.server.platform;
