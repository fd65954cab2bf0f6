package io.radishwinch.cluster;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.protocol.generated.Frame;

/**
 * A frame to send to a peer.
 *
 * @param destination peer address of the receiver
 * @param frame frame, whose message may be shared with other frames and must not be modified
 */
public record OutgoingFrame(Address destination, Frame frame) {}
