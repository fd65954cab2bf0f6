package io.radishwinch.cluster.allotment;

import io.radishwinch.cluster.membership.Address;
import java.util.List;
import java.util.Set;

/** View of the membership that the shared limits need. */
public interface AllotmentPeers {

    /** Returns the id of this router. */
    String selfId();

    /** Returns the local data centre. */
    String dataCentre();

    /** Returns the incarnation of this router, which increases from one process to the next at the same address. */
    long incarnation();

    /** Returns the ids of all members of the local data centre, including this router. */
    List<String> localIds();

    /** Returns the address of another member of the local data centre, or null if it is unknown. */
    Address localAddress(String id);

    /** Returns the other data centres that exist. */
    Set<String> remoteDataCentres();

    /** Returns the address of the owner of a bucket in another data centre, or null if its members are unknown. */
    Address remoteOwner(String dataCentre, int bucket);

    /** Returns the number of routers in the whole fleet, at least 1. */
    int fleetSize();
}
