/** TCP transport of frames between routers. The package does not interpret the messages in the frames. */
package io.radishwinch.server.peer;
