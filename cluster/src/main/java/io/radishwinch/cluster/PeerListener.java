package io.radishwinch.cluster;

import io.radishwinch.cluster.allotment.Share;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.gossip.GossipEntry;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.protocol.generated.Message;

/** Receiver of changes; called on the thread that calls the {@link PeerNode}, during that call. */
public interface PeerListener {

    /** A member of the own data centre changed its state. */
    default void memberChanged(MemberInfo member) {}

    /** An entry was added, replaced or deleted (a tombstone), by this router or another one, or it expired. */
    default void entryChanged(GossipEntry entry) {}

    /** A configuration object took effect, or its deletion did. */
    default void configurationChanged(ConfigurationObject object) {}

    /** The share of a caller at this router changed. */
    default void shareChanged(String caller, Share share) {}

    /** A journal request or reply arrived. */
    default void journalMessage(MemberInfo sender, Message message) {}
}
