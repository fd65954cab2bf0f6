/** Transport of frames between routers. */
package io.radishwinch.server.peer;
