package io.radishwinch.cluster.gossip;

import io.radishwinch.cluster.membership.Address;
import java.util.List;

/** View of the membership that gossip needs. */
public interface GossipPeers {

    /**
     * Returns the addresses of up to {@code count} random alive members of the local data centre, except the given one.
     */
    List<Address> randomMembers(int count, Address excluded);

    /** Returns the addresses of all alive members of the local data centre. */
    List<Address> members();

    /** Returns the addresses in other data centres for which this router is currently a relay. */
    List<Address> relayTargets();

    /** Returns whether the router belongs to the local data centre. */
    boolean isLocal(String routerId);
}
