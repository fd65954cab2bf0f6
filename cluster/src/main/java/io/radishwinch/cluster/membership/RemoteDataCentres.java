package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Ack;
import io.radishwinch.protocol.generated.Message;
import io.radishwinch.protocol.generated.Ping;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Links to other data centres.
 *
 * <p>For each other data centre, {@link #RELAYS} members of the local one are relays, chosen by rendezvous hash, so
 * that a fleet of 12 data centres distributes its 22 links over all 30 members. A relay keeps one target in the other
 * data centre, probes it, and replaces it after {@link #MAX_MISSED_PROBES} unanswered probes. Members of other data
 * centres are known from the directory that each data centre publishes, and from seeds until it arrives. Not
 * thread-safe.
 */
public final class RemoteDataCentres {

    /** Number of relays for each other data centre. */
    public static final int RELAYS = 2;

    /** Time between two probes of a target, in ms. */
    static final long PROBE_INTERVAL_MS = 2_000;

    /** Time between two probes while no target responds, in ms. */
    static final long SEARCH_INTERVAL_MS = 500;

    /** Number of unanswered probes after which another target is chosen. */
    static final int MAX_MISSED_PROBES = 2;

    /** Maximum number of data centres; the design target is 12. */
    static final int MAX_DATA_CENTRES = 64;

    /** Time without frames after which a data centre that is missing from the VM list no longer exists, in ms. */
    static final long UNLISTED_RETENTION_MS = 30_000;

    private static final int MAX_MEMBERS = 512;

    private final String selfId;
    private final String localDataCentre;
    private final Random random;
    private final Map<String, RemoteDataCentre> remotes = new TreeMap<>();
    private boolean hasSeedList;
    private long nowMs;

    private static final class RemoteDataCentre {
        private List<MemberInfo> members = List.of();
        private List<Seed> seeds = List.of();
        private Address target;
        private int missedProbes;
        private boolean hasTargetResponded;
        private boolean isRelay;
        private long nextProbeMs = Long.MIN_VALUE;
        private long lastReceivedMs = -UNLISTED_RETENTION_MS;
    }

    /** Creates the state without any other data centre. */
    public RemoteDataCentres(String selfId, String localDataCentre, Random random) {
        this.selfId = selfId;
        this.localDataCentre = localDataCentre;
        this.random = random;
    }

    /** Replaces the seeds, unless the list is empty. */
    public void setSeeds(List<Seed> seeds) {
        if (seeds.isEmpty()) {
            return;
        }
        hasSeedList = true;
        for (Seed seed : seeds) {
            getOrCreate(seed.dataCentre());
        }
        remotes.forEach((dataCentre, remote) -> remote.seeds = seeds.stream()
                .filter(seed -> seed.dataCentre().equals(dataCentre))
                .sorted(Comparator.comparing(Seed::id))
                .limit(MAX_MEMBERS)
                .toList());
    }

    /** Replaces the members of another data centre with those of its directory. */
    public void setDirectory(String dataCentre, List<MemberInfo> members) {
        RemoteDataCentre remote = getOrCreate(dataCentre);
        if (remote != null) {
            remote.members = members.stream()
                    .filter(info -> info.dataCentre().equals(dataCentre) && info.isPresent())
                    .sorted(Comparator.comparing(MemberInfo::id))
                    .limit(MAX_MEMBERS)
                    .toList();
        }
    }

    /**
     * Returns the names of the other data centres that exist, in order: those in the VM list and those with frames in
     * the last {@link #UNLISTED_RETENTION_MS}. An unresponsive data centre in the VM list still exists.
     */
    public Set<String> names() {
        Set<String> names = new TreeSet<>();
        remotes.forEach((name, remote) -> {
            if (!hasSeedList || !remote.seeds.isEmpty() || nowMs - remote.lastReceivedMs < UNLISTED_RETENTION_MS) {
                names.add(name);
            }
        });
        return names;
    }

    /** Records that a frame from another data centre arrived. */
    public void onFrameReceived(MemberInfo sender, long atMs) {
        RemoteDataCentre remote = getOrCreate(sender.dataCentre());
        if (remote != null) {
            remote.lastReceivedMs = atMs;
        }
    }

    /** Returns the number of routers in all other data centres that exist. */
    public int routerCount() {
        int size = 0;
        for (String name : names()) {
            RemoteDataCentre remote = remotes.get(name);
            size += remote.members.isEmpty() ? remote.seeds.size() : remote.members.size();
        }
        return size;
    }

    /** Returns the members of another data centre, as listed in its directory. */
    public List<MemberInfo> members(String dataCentre) {
        RemoteDataCentre remote = remotes.get(dataCentre);
        return remote == null ? List.of() : remote.members;
    }

    /** Returns the targets of the links for which this router is a relay and whose target responds. */
    public List<Address> relayTargets() {
        List<Address> targets = new ArrayList<>();
        for (RemoteDataCentre remote : remotes.values()) {
            if (remote.isRelay && remote.hasTargetResponded) {
                targets.add(remote.target);
            }
        }
        return targets;
    }

    /** Advances the time: probes the targets. */
    public void tick(Collection<String> localIds, long tickMs, List<Envelope> out) {
        nowMs = tickMs;
        remotes.forEach((dataCentre, remote) -> {
            remote.isRelay = RendezvousHash.isAmongTop(selfId, "relay/" + dataCentre, localIds, RELAYS);
            if (!remote.isRelay) {
                remote.target = null;
                remote.hasTargetResponded = false;
                return;
            }
            if (nowMs < remote.nextProbeMs) {
                return;
            }
            if (remote.target == null || remote.missedProbes >= MAX_MISSED_PROBES || !remote.hasTargetResponded) {
                remote.hasTargetResponded = false;
                remote.missedProbes = 0;
                remote.target = chooseTarget(remote);
            }
            if (remote.target != null) {
                remote.missedProbes++;
                out.add(new Envelope(remote.target, Message.ping(new Ping(0, List.of()))));
            }
            remote.nextProbeMs = nowMs + (remote.hasTargetResponded ? PROBE_INTERVAL_MS : SEARCH_INTERVAL_MS);
        });
    }

    /** Responds to a probe from another data centre. */
    public void onPing(MemberInfo sender, Ping ping, List<Envelope> out) {
        out.add(new Envelope(sender.address(), Message.ack(new Ack(ping.getSequence(), selfId, List.of()))));
    }

    /** Handles the acknowledgement of a probe. */
    public void onAck(MemberInfo sender) {
        RemoteDataCentre remote = remotes.get(sender.dataCentre());
        if (remote != null && remote.isRelay && sender.address().equals(remote.target)) {
            remote.missedProbes = 0;
            remote.hasTargetResponded = true;
        }
    }

    private RemoteDataCentre getOrCreate(String dataCentre) {
        if (dataCentre.equals(localDataCentre)) {
            return null;
        }
        RemoteDataCentre known = remotes.get(dataCentre);
        if (known == null && remotes.size() < MAX_DATA_CENTRES) {
            known = new RemoteDataCentre();
            remotes.put(dataCentre, known);
        }
        return known;
    }

    private Address chooseTarget(RemoteDataCentre remote) {
        Set<Address> candidates = new HashSet<>();
        List<Address> ordered = new ArrayList<>();
        for (MemberInfo info : remote.members) {
            if (candidates.add(info.address())) {
                ordered.add(info.address());
            }
        }
        // Seeds are candidates too, because a directory can be stale after a partition.
        for (Seed seed : remote.seeds) {
            if (candidates.add(seed.address())) {
                ordered.add(seed.address());
            }
        }
        return ordered.isEmpty() ? null : ordered.get(random.nextInt(ordered.size()));
    }
}
