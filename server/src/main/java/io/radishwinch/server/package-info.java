/** HTTP, engine, platform and peer adapters, and the radishwinchd binary. */
package io.radishwinch.server;
