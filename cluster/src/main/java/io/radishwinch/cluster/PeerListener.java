package io.radishwinch.cluster;

import io.radishwinch.cluster.allotment.Share;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.configuration.RejectedObject;
import io.radishwinch.cluster.gossip.GossipEntry;
import io.radishwinch.cluster.load.EndpointLoad;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.protocol.generated.Message;
import java.util.Map;

/**
 * Receives changes of the shared state. Methods run on the thread that calls the {@link PeerNode}, during that call.
 */
public interface PeerListener {

    /** Called when a member of the local data centre changes its state. */
    default void memberChanged(MemberInfo member) {}

    /** Called when an entry was added, replaced or deleted (a tombstone) by any router, or has expired. */
    default void entryChanged(GossipEntry entry) {}

    /** Called when a configuration object or its deletion takes effect. */
    default void configurationChanged(ConfigurationObject object) {}

    /** Called when a version of a configuration object is rejected; its last valid version stays in effect. */
    default void configurationRejected(RejectedObject object) {}

    /** Called when the share of a caller at this router changes. */
    default void shareChanged(String caller, Share share) {}

    /** Called with the sums of the loads that all other routers put on the endpoints, by endpoint hash. */
    default void endpointLoadsChanged(Map<Integer, EndpointLoad> loads) {}

    /**
     * Called when another member receives the platform's changes.
     *
     * @param relistGraceMs remaining time in which the platform may list removed endpoints again, in ms
     */
    default void platformHeartbeat(long relistGraceMs) {}

    /** Called when a journal request or reply arrives. */
    default void journalMessage(MemberInfo sender, Message message) {}
}
