/** Thrift messages between routers and their bounded framing. */
package io.radishwinch.protocol;
