/**
 * Frames for the Thrift messages between routers, with limits on their size.
 *
 * <p>Contains no networking and no logic of the messages.
 */
package io.radishwinch.protocol;
