package io.radishwinch.cluster.gossip;

import io.radishwinch.cluster.membership.Address;
import java.util.List;

/** The routers that gossip reaches, as membership sees them. */
public interface GossipPeers {

    /** Returns up to {@code count} random alive members of the own data centre, without the one at the address. */
    List<Address> randomMembers(int count, Address excluded);

    /** Returns the routers in other data centres for which this router is a relay now. */
    List<Address> relayTargets();

    /** Returns whether the router with this id belongs to the own data centre. */
    boolean isLocal(String routerId);
}
