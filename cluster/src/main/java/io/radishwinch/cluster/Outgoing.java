package io.radishwinch.cluster;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.protocol.generated.Frame;

/**
 * A frame to send.
 *
 * @param to receiver
 * @param frame frame; its message may be shared with other frames and must not be modified
 */
public record Outgoing(Address to, Frame frame) {}
