package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Message;

/**
 * A message and its destination, before it is put into a frame.
 *
 * @param destination peer address of the receiver
 * @param message content, which may be shared between receivers and must not be modified
 */
public record Envelope(Address destination, Message message) {}
