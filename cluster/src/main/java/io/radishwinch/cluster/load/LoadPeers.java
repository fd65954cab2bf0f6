package io.radishwinch.cluster.load;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.MemberInfo;
import java.util.Collection;
import java.util.List;

/** View of the membership that the exchange of loads needs. */
public interface LoadPeers {

    /** Returns the identifier of this router. */
    String selfId();

    /** Returns the identifiers of all members of the local data centre, including this router. */
    List<String> localIds();

    /** Returns the address of another member of the local data centre, or null if it is unknown. */
    Address localAddress(String id);

    /** Returns the names of the other data centres. */
    Collection<String> remoteDataCentres();

    /** Returns the members of another data centre. */
    List<MemberInfo> remoteMembers(String dataCentre);
}
