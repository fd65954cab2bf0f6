package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Message;

/**
 * A message on its way out, before it is put into a frame.
 *
 * @param destination receiver
 * @param message content, shared between receivers and not modified afterwards
 */
public record Envelope(Address destination, Message message) {}
