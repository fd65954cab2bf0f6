package io.radishwinch.cluster.watch;

import io.radishwinch.cluster.membership.RendezvousHash;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether this router watches the platform on behalf of its data centre.
 *
 * <p>The members that come first in the order of rendezvous weights are designated. A watcher that receives the
 * platform's changes sends heartbeats to all members. A member that hears no watcher for {@link #HEARTBEAT_TIMEOUT_MS}
 * watches as well, whatever silenced the designated ones: a failure that the membership has not detected yet, a
 * partition, or a platform that rejects them. A watcher that has lost the platform but still reaches its peers says so,
 * and they need not wait. While the platform is unreachable for all, every router therefore tries to reach it by
 * itself.
 *
 * <p>Times are in ms of this router's monotonic clock. Not thread-safe.
 */
public final class WatcherElection {

    /** Time between two heartbeats of a watcher, in ms. */
    public static final long HEARTBEAT_INTERVAL_MS = 500;

    /** Time without a heartbeat after which the next member watches, in ms; one heartbeat may be lost or late. */
    static final long HEARTBEAT_TIMEOUT_MS = 1_000;

    /** Additional time that each later member in the order waits, in ms, so that the first one can announce itself. */
    static final long RANK_DELAY_MS = 100;

    /** Maximum additional time, in ms. */
    static final long MAX_RANK_DELAY_MS = 400;

    /** Time for which enough preceding members must be heard before a stand-in stops watching, in ms. */
    static final long STEP_DOWN_DELAY_MS = 3_000;

    /** Time after the start for which a router waits for its peers' member list, in ms. */
    static final long INITIAL_WAIT_MS = 1_500;

    /** Number of data centres from which one watcher in each is enough, because the others forward its changes. */
    static final int REDUNDANT_DATA_CENTRES = 3;

    private static final String KEY = "platform-watch";

    private final String selfId;
    private final Map<String, Long> heardAtMs = new HashMap<>();
    private long startMs = Long.MIN_VALUE;
    private long coveredSinceMs = Long.MAX_VALUE;
    private long nextHeartbeatMs = Long.MIN_VALUE;
    private boolean isWatching;

    /** Creates the state of a router that does not watch yet. */
    public WatcherElection(String selfId) {
        this.selfId = selfId;
    }

    /** Records a heartbeat of another member of the data centre. */
    public void onHeartbeat(String senderId, long nowMs) {
        heardAtMs.put(senderId, nowMs);
    }

    /** Records that another member of the data centre no longer receives the changes of the platform. */
    public void onPlatformLost(String senderId) {
        heardAtMs.remove(senderId);
    }

    /**
     * Advances the time.
     *
     * @param memberIds members of the data centre, including this router
     * @param isJoined whether a peer has sent its member list
     * @param dataCentres number of data centres, including this one
     */
    public void tick(Collection<String> memberIds, boolean isJoined, int dataCentres, long nowMs) {
        if (startMs == Long.MIN_VALUE) {
            startMs = nowMs;
        }
        heardAtMs.keySet().retainAll(memberIds);
        if (!isJoined && nowMs - startMs < INITIAL_WAIT_MS) {
            return;
        }
        int watchers = dataCentres >= REDUNDANT_DATA_CENTRES ? 1 : 2;
        int rank = RendezvousHash.rank(selfId, KEY, memberIds);
        if (rank < watchers || isSilent(rank, nowMs)) {
            isWatching = true;
            coveredSinceMs = Long.MAX_VALUE;
        } else if (isWatching) {
            stepDownIfCovered(memberIds, watchers, nowMs);
        }
    }

    /** Returns whether this router should watch the platform. */
    public boolean isWatching() {
        return isWatching;
    }

    /** Returns whether a heartbeat of this watcher is due, and schedules the next one. */
    public boolean takeDueHeartbeat(long nowMs) {
        if (nowMs < nextHeartbeatMs) {
            return false;
        }
        nextHeartbeatMs = nowMs + HEARTBEAT_INTERVAL_MS;
        return true;
    }

    private boolean isSilent(int rank, long nowMs) {
        long lastHeardMs = startMs;
        for (long atMs : heardAtMs.values()) {
            lastHeardMs = Math.max(lastHeardMs, atMs);
        }
        return nowMs - lastHeardMs >= HEARTBEAT_TIMEOUT_MS + Math.min(rank * RANK_DELAY_MS, MAX_RANK_DELAY_MS);
    }

    private void stepDownIfCovered(Collection<String> memberIds, int watchers, long nowMs) {
        long preceding = heardAtMs.entrySet().stream()
                .filter(heard -> nowMs - heard.getValue() < HEARTBEAT_TIMEOUT_MS)
                .filter(heard -> RendezvousHash.rank(heard.getKey(), KEY, memberIds)
                        < RendezvousHash.rank(selfId, KEY, memberIds))
                .count();
        if (preceding < watchers) {
            coveredSinceMs = Long.MAX_VALUE;
            return;
        }
        coveredSinceMs = Math.min(coveredSinceMs, nowMs);
        if (nowMs - coveredSinceMs >= STEP_DOWN_DELAY_MS) {
            isWatching = false;
            coveredSinceMs = Long.MAX_VALUE;
        }
    }
}
