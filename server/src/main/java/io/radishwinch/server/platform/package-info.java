/** HTTP client of the platform: stored objects, watches and the VM list. It does not retry calls. */
package io.radishwinch.server.platform;
