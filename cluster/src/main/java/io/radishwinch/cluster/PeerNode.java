package io.radishwinch.cluster;

import io.radishwinch.cluster.allotment.Allotment;
import io.radishwinch.cluster.allotment.AllotmentPeers;
import io.radishwinch.cluster.allotment.CallerLimits;
import io.radishwinch.cluster.allotment.LoadVector;
import io.radishwinch.cluster.allotment.Share;
import io.radishwinch.cluster.configuration.ConfigurationObject;
import io.radishwinch.cluster.configuration.ConfigurationStore;
import io.radishwinch.cluster.configuration.ConfigurationValidator;
import io.radishwinch.cluster.gossip.Gossip;
import io.radishwinch.cluster.gossip.GossipEntry;
import io.radishwinch.cluster.gossip.GossipPeers;
import io.radishwinch.cluster.gossip.GossipTable;
import io.radishwinch.cluster.load.EndpointLoad;
import io.radishwinch.cluster.load.LoadExchange;
import io.radishwinch.cluster.load.LoadPeers;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Envelope;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.Membership;
import io.radishwinch.cluster.membership.RemoteDataCentres;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.cluster.watch.WatcherElection;
import io.radishwinch.protocol.FrameCodec;
import io.radishwinch.protocol.generated.EntryKind;
import io.radishwinch.protocol.generated.Frame;
import io.radishwinch.protocol.generated.MemberState;
import io.radishwinch.protocol.generated.Message;
import io.radishwinch.protocol.generated.PlatformHeartbeat;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * State machine of everything that a router shares with its peers: membership, gossip, configuration and limits.
 *
 * <p>Inputs are the time, received frames and method calls; outputs are frames to send and listener calls. Times are in
 * ms of a monotonic clock of this router. The caller sends all returned frames in order; the network may lose,
 * duplicate or reorder them. {@link #tick} must be called every {@link #TICK_INTERVAL_MS}. Not thread-safe.
 */
public final class PeerNode {

    /** Time between two ticks, in ms. */
    public static final long TICK_INTERVAL_MS = 100;

    /** Number of routers of a data centre that watch the platform. With two, changes still arrive when one fails. */
    public static final int PLATFORM_WATCHERS = 2;

    /** Rate at which a router forwards the load totals of one collector, in bytes/s; there are two collectors. */
    public static final long LOAD_BYTES_PER_S = 300;

    /** Time after which a router without peers stops waiting for the first synchronisation, in ms. */
    public static final long INITIAL_SYNC_TIMEOUT_MS = 5_000;

    /** Grace period in a heartbeat whose sender no longer receives the changes of the platform. */
    private static final long PLATFORM_LOST = -1;

    private final List<PeerListener> listeners = new ArrayList<>();
    private final Membership membership;
    private final RemoteDataCentres remoteDataCentres;
    private final GossipTable table = new GossipTable();
    private final Gossip gossip;
    private final DirectoryPublisher directoryPublisher = new DirectoryPublisher();
    private final ConfigurationStore configuration;
    private final Allotment allotment;
    private final LoadExchange loads;
    private final WatcherElection election;
    private boolean hasElectedWatchers;
    private boolean isPlatformCurrent;
    private boolean hasAnnouncedPlatform;
    private long relistGraceMs;
    private boolean isAdmittingEntry;
    private boolean isFirstListing;
    private boolean hasLeft;
    private long startMs = Long.MIN_VALUE;
    private long nowMs;

    /** Creates a router without known peers that accepts every configuration object. */
    public PeerNode(String id, String dataCentre, Address address, long incarnation, long seed) {
        this(id, dataCentre, address, incarnation, seed, (key, value) -> Optional.empty());
    }

    /**
     * Creates a router without known peers.
     *
     * @param id identifier, unique in the deployment, at most 64 characters
     * @param dataCentre data centre
     * @param address address at which peers reach this router
     * @param incarnation start time of the process in ms since the epoch; it should exceed that of an earlier process
     *     at the same address and is raised if peers know a higher one
     * @param seed seed of the random number generator
     * @param validator validator of configuration objects
     */
    public PeerNode(
            String id,
            String dataCentre,
            Address address,
            long incarnation,
            long seed,
            ConfigurationValidator validator) {
        Random random = new Random(seed);
        MemberInfo self = new MemberInfo(id, dataCentre, address, incarnation, MemberState.ALIVE);
        membership = new Membership(self, random, this::onMemberChanged);
        remoteDataCentres = new RemoteDataCentres(id, dataCentre, random);
        election = new WatcherElection(id);
        Peers peers = new Peers();
        configuration = new ConfigurationStore(
                validator,
                this::onConfigurationChanged,
                key -> table.remove(EntryKind.CONFIGURATION, key),
                rejected -> listeners.forEach(listener -> listener.configurationRejected(rejected)));
        gossip = new Gossip(table, peers, this::admitEntry, this::onEntryChanged);
        loads = new LoadExchange(
                peers,
                LOAD_BYTES_PER_S,
                totals -> listeners.forEach(listener -> listener.endpointLoadsChanged(totals)));
        allotment = new Allotment(
                peers, (caller, share) -> listeners.forEach(listener -> listener.shareChanged(caller, share)));
    }

    /** Adds a listener. */
    public void addListener(PeerListener listener) {
        listeners.add(listener);
    }

    /**
     * Sets the routers that may exist in all data centres, from the platform's lagging VM list.
     *
     * <p>Must be called at the start and after each poll of the list. A member that is missing from the list stays a
     * member.
     */
    public List<OutgoingFrame> join(List<Seed> seeds, long nowMs) {
        membership.setSeeds(seeds);
        remoteDataCentres.setSeeds(seeds);
        return tick(nowMs);
    }

    /** Advances the time and returns the frames to send. */
    public List<OutgoingFrame> tick(long nowMs) {
        if (hasLeft) {
            return List.of();
        }
        this.nowMs = nowMs;
        if (startMs == Long.MIN_VALUE) {
            startMs = nowMs;
        }
        List<Envelope> out = new ArrayList<>();
        membership.tick(nowMs, out);
        List<String> ids = membership.ids();
        remoteDataCentres.tick(ids, nowMs, out);
        publishDirectory(nowMs);
        if (hasElectedWatchers) {
            election.tick(ids, hasJoined(), remoteDataCentres.names().size() + 1, nowMs);
            // Before the entries, because a heartbeat tells how receivers should treat removals among them.
            sendPlatformHeartbeats(nowMs, out);
        }
        gossip.tick(nowMs, out);
        loads.tick(nowMs, out);
        allotment.tick(nowMs, out);
        return toFrames(out);
    }

    /** Handles a frame from a peer and returns the frames to send. */
    public List<OutgoingFrame> receive(Frame frame, long nowMs) {
        MemberInfo sender = MemberInfo.from(frame.getSender());
        if (hasLeft || sender.id().equals(membership.self().id())) {
            return List.of();
        }
        this.nowMs = nowMs;
        List<Envelope> out = new ArrayList<>();
        boolean isLocal = sender.dataCentre().equals(membership.self().dataCentre());
        boolean wasMember = isLocal && membership.isKnownMember(sender);
        if (isLocal) {
            membership.onFrameReceived(sender, nowMs, out);
        } else {
            remoteDataCentres.onFrameReceived(sender, nowMs);
        }
        dispatch(sender, isLocal, wasMember, frame.getMessage(), nowMs, out);
        return toFrames(out);
    }

    /** Leaves the fleet immediately. The returned frames are the last ones; later calls do nothing. */
    public List<OutgoingFrame> leave(long nowMs) {
        List<Envelope> out = new ArrayList<>();
        if (!hasLeft) {
            gossip.flush(nowMs, out);
            membership.leave(out);
            hasLeft = true;
        }
        return toFrames(out);
    }

    /**
     * Publishes an entry with this router as its origin.
     *
     * @param deadlineMs time at which the entry expires, in ms of this router's clock; {@link GossipEntry#NEVER} is
     *     allowed only for kinds without a maximum lifetime
     * @return false if the entry exceeds a bound of its kind
     * @throws IllegalArgumentException if the kind is configuration, which is versioned by the platform only
     */
    public boolean publish(EntryKind kind, String key, byte[] value, long deadlineMs, long nowMs) {
        checkPublishable(kind);
        GossipEntry known = table.get(kind, key);
        // The incarnation increases with the start time, so a restarted router uses higher versions than its
        // predecessor.
        long version = Math.max(
                known == null ? 0 : known.version() + 1, membership.self().incarnation());
        return gossip.publish(
                new GossipEntry(kind, key, version, membership.self().id(), value.clone(), deadlineMs), nowMs);
    }

    /** Deletes an entry, whichever router published it. */
    public void withdraw(EntryKind kind, String key, long nowMs) {
        checkPublishable(kind);
        gossip.withdraw(kind, key, membership.self().id(), nowMs);
    }

    /**
     * Offers a configuration object from a watch or a read of the platform.
     *
     * @param value content, or null for a deletion
     */
    public ConfigurationStore.Outcome offerConfiguration(String key, long version, byte[] value, long nowMs) {
        this.nowMs = nowMs;
        return configuration.offer(key, version, value == null ? null : value.clone());
    }

    /**
     * Offers a complete listing of the configuration from the platform.
     *
     * @param storeVersion lowest store version of all pages of the listing
     */
    public void offerConfigurationListing(
            String prefix, List<ConfigurationObject> listing, long storeVersion, long nowMs) {
        this.nowMs = nowMs;
        isFirstListing = configuration.objects().stream()
                .noneMatch(object -> object.key().startsWith(prefix));
        configuration.offerListing(prefix, listing, storeVersion);
        isFirstListing = false;
        gossip.setComplete();
    }

    /**
     * Lets the routers of each data centre elect those that watch the platform. The others receive its changes from
     * them.
     */
    public void electWatchers() {
        hasElectedWatchers = true;
        gossip.setHasElectedWatchers(true);
    }

    /** Returns whether this router was elected to watch the platform. */
    public boolean isElectedWatcher() {
        return !hasLeft && election.isWatching();
    }

    /**
     * Records the state of this router's watch, which its heartbeats announce.
     *
     * @param isCurrent whether all changes of the platform arrive
     * @param newRelistGraceMs remaining time in which the platform may list removed endpoints again, in ms
     */
    public void setPlatformWatchState(boolean isCurrent, long newRelistGraceMs) {
        isPlatformCurrent = isCurrent;
        relistGraceMs = newRelistGraceMs;
    }

    /** Publishes the load of this router, by endpoint hash; it is sent with the next exchange. */
    public void publishLoads(Map<Integer, EndpointLoad> endpointLoads) {
        loads.setOwnLoads(endpointLoads);
    }

    /**
     * Sets whether endpoint load and ejections are shared between data centres.
     *
     * @param loadBytesPerS rate of load totals to one member, in bytes/s
     */
    public void setSharesEndpointState(boolean shares, long loadBytesPerS) {
        gossip.setSharesEndpointState(shares);
        loads.configure(shares, loadBytesPerS);
    }

    /** Replaces the fleet-wide limits of all callers. */
    public void setLimits(Map<String, CallerLimits> limits) {
        allotment.setLimits(limits);
    }

    /** Records the load offered to this router since the last call, as rates. Must be called every 500 ms to 1 s. */
    public void recordOfferedLoad(Map<String, LoadVector> offered, long nowMs) {
        allotment.recordOfferedLoad(offered, nowMs);
    }

    /** Returns a frame with a journal message for a member of any data centre, or empty if the member is unknown. */
    public Optional<OutgoingFrame> journalFrame(String memberId, Message message) {
        MemberInfo member = membership.member(memberId);
        if (member == null) {
            member = remoteDataCentres.names().stream()
                    .flatMap(name -> remoteDataCentres.members(name).stream())
                    .filter(info -> info.id().equals(memberId))
                    .findFirst()
                    .orElse(null);
        }
        return Optional.ofNullable(member).map(info -> toFrame(new Envelope(info.address(), message)));
    }

    /** Returns the state of this router. */
    public MemberInfo self() {
        return membership.self();
    }

    /** Returns the other alive and suspected members of the local data centre. */
    public List<MemberInfo> members() {
        return membership.others();
    }

    /** Returns the members of another data centre, as listed in its directory. */
    public List<MemberInfo> remoteMembers(String dataCentre) {
        return remoteDataCentres.members(dataCentre);
    }

    /** Returns the names of the other data centres. */
    public List<String> remoteDataCentres() {
        return List.copyOf(remoteDataCentres.names());
    }

    /** Returns the member of the local data centre that owns the key, possibly this router. */
    public String owner(String key) {
        return RendezvousHash.owner(key, membership.ids())
                .orElse(membership.self().id());
    }

    /** Returns an entry, or empty if it is unknown or deleted. */
    public Optional<GossipEntry> entry(EntryKind kind, String key) {
        return Optional.ofNullable(table.get(kind, key)).filter(entry -> !entry.isTombstone());
    }

    /** Returns all entries of a kind except tombstones, in no particular order. */
    public List<GossipEntry> entries(EntryKind kind) {
        return table.entries(kind);
    }

    /** Returns whether the durable entries have matched those of a peer at least once. */
    public boolean isSynchronised() {
        return gossip.isSynchronised();
    }

    /**
     * Returns whether this router has had the whole configuration at least once: from a listing of the platform, or
     * because its entries matched those of a router that has. Until then, it may know any part of it.
     */
    public boolean isConfigurationComplete() {
        return gossip.isComplete();
    }

    /** Returns whether the peers have not provided the whole configuration within {@link #INITIAL_SYNC_TIMEOUT_MS}. */
    public boolean isConfigurationOverdue() {
        return !gossip.isComplete() && startMs != Long.MIN_VALUE && nowMs - startMs >= INITIAL_SYNC_TIMEOUT_MS;
    }

    /** Returns the configuration in effect, for reading only. */
    public ConfigurationStore configuration() {
        return configuration;
    }

    /** Returns the share of a caller's limits at this router. */
    public Share share(String caller) {
        return allotment.share(caller);
    }

    /**
     * Returns whether this router may read the platform: it has synchronised with a peer, or has known no peer for
     * {@link #INITIAL_SYNC_TIMEOUT_MS}.
     */
    public boolean canReadPlatform() {
        boolean isAlone =
                membership.isAlone() && startMs != Long.MIN_VALUE && nowMs - startMs >= INITIAL_SYNC_TIMEOUT_MS;
        return gossip.isSynchronised() || isAlone;
    }

    /**
     * Returns whether this router is one of the routers of its data centre that watch the configuration on the
     * platform.
     */
    public boolean isPlatformWatcher() {
        String id = membership.self().id();
        return !hasLeft
                && canReadPlatform()
                && RendezvousHash.isAmongTop(id, "platform-watch", membership.ids(), PLATFORM_WATCHERS);
    }

    private static void checkPublishable(EntryKind kind) {
        if (kind == EntryKind.CONFIGURATION) {
            throw new IllegalArgumentException("configuration entries can be published by the platform only");
        }
    }

    /** Puts a configuration entry into effect before it enters the table, and rejects it if it is invalid. */
    private boolean admitEntry(GossipEntry entry) {
        if (entry.kind() != EntryKind.CONFIGURATION) {
            return true;
        }
        if (!entry.origin().isEmpty() || entry.deadlineMs() != GossipEntry.NEVER) {
            return false;
        }
        isAdmittingEntry = true;
        try {
            configuration.offer(entry.key(), entry.version(), entry.value());
        } finally {
            isAdmittingEntry = false;
        }
        return configuration.hasVersion(entry.key(), entry.version());
    }

    private void onConfigurationChanged(ConfigurationObject object, boolean hasOtherContent) {
        if (!isAdmittingEntry) {
            GossipEntry entry = new GossipEntry(
                    EntryKind.CONFIGURATION, object.key(), object.version(), "", object.value(), GossipEntry.NEVER);
            // At the start all routers list the same objects, and after a restore most keep their content.
            boolean isKnownToPeers =
                    hasElectedWatchers && (isFirstListing || !hasOtherContent || !election.isWatching());
            if (isKnownToPeers) {
                gossip.store(entry, nowMs);
            } else {
                gossip.publish(entry, nowMs);
            }
        }
        listeners.forEach(listener -> listener.configurationChanged(object));
    }

    private void dispatch(
            MemberInfo sender, boolean isLocal, boolean wasMember, Message message, long nowMs, List<Envelope> out) {
        Address from = sender.address();
        switch (message.getSetField()) {
            case PING -> {
                if (isLocal) {
                    membership.onPing(sender, wasMember, message.getPing(), nowMs, out);
                } else {
                    remoteDataCentres.onPing(sender, message.getPing(), out);
                }
            }
            case PING_REQUEST -> {
                if (isLocal) {
                    membership.onPingRequest(sender, message.getPingRequest(), nowMs, out);
                }
            }
            case ACK -> {
                if (isLocal) {
                    membership.onAck(message.getAck(), nowMs, out);
                } else {
                    remoteDataCentres.onAck(sender);
                }
            }
            case DELTA -> gossip.onDelta(from, sender.id(), isLocal, message.getDelta(), nowMs, out);
            case DIGEST -> gossip.onDigest(from, isLocal, message.getDigest(), out);
            case BUCKET_REQUEST -> gossip.onBucketRequest(from, isLocal, message.getBucketRequest(), nowMs, out);
            case ENTRY_REQUEST -> gossip.onEntryRequest(from, isLocal, message.getEntryRequest(), nowMs, out);
            case PLATFORM_HEARTBEAT -> {
                if (isLocal) {
                    onPlatformHeartbeat(sender, message.getPlatformHeartbeat(), out);
                }
            }
            case ENDPOINT_LOADS -> loads.onLoads(sender, isLocal, message.getEndpointLoads(), nowMs, out);
            case JOURNAL_REQUEST, JOURNAL_REPLY ->
                listeners.forEach(listener -> listener.journalMessage(sender, message));
            case DEMAND_REPORT -> allotment.onDemandReport(sender.id(), isLocal, message.getDemandReport(), nowMs, out);
            case SHARE_GRANT -> {
                if (isLocal) {
                    allotment.onShareGrant(sender.id(), message.getShareGrant());
                }
            }
        }
    }

    private boolean hasJoined() {
        return gossip.isSynchronised() && !membership.isAlone();
    }

    private void sendPlatformHeartbeats(long nowMs, List<Envelope> out) {
        if (election.isWatching() && isPlatformCurrent) {
            if (election.takeDueHeartbeat(nowMs)) {
                hasAnnouncedPlatform = true;
                sendPlatformHeartbeat(relistGraceMs, out);
            }
        } else if (hasAnnouncedPlatform) {
            hasAnnouncedPlatform = false;
            sendPlatformHeartbeat(PLATFORM_LOST, out);
        }
    }

    private void sendPlatformHeartbeat(long announcedGraceMs, List<Envelope> out) {
        Message heartbeat = Message.platformHeartbeat(new PlatformHeartbeat(gossip.fleetHash(), announcedGraceMs));
        for (MemberInfo member : membership.others()) {
            out.add(new Envelope(member.address(), heartbeat));
        }
    }

    private void onPlatformHeartbeat(MemberInfo sender, PlatformHeartbeat heartbeat, List<Envelope> out) {
        if (heartbeat.getRelistGraceMs() == PLATFORM_LOST) {
            election.onPlatformLost(sender.id());
            return;
        }
        election.onHeartbeat(sender.id(), nowMs);
        gossip.onFleetHash(sender.address(), sender.id(), heartbeat.getFleetHash(), out);
        listeners.forEach(listener -> listener.platformHeartbeat(heartbeat.getRelistGraceMs()));
    }

    private void publishDirectory(long nowMs) {
        MemberInfo self = membership.self();
        GossipEntry published = table.get(EntryKind.DIRECTORY, self.dataCentre());
        directoryPublisher
                .valueToPublish(self, membership.others(), published == null ? null : published.value(), nowMs)
                .ifPresent(value -> publish(EntryKind.DIRECTORY, self.dataCentre(), value, GossipEntry.NEVER, nowMs));
    }

    private void onMemberChanged(MemberInfo member) {
        listeners.forEach(listener -> listener.memberChanged(member));
    }

    private void onEntryChanged(GossipEntry entry) {
        if (entry.kind() == EntryKind.DIRECTORY && !entry.isTombstone()) {
            remoteDataCentres.setDirectory(entry.key(), DirectoryPublisher.decode(entry.value()));
        }
        listeners.forEach(listener -> listener.entryChanged(entry));
    }

    private List<OutgoingFrame> toFrames(List<Envelope> envelopes) {
        List<OutgoingFrame> frames = new ArrayList<>(envelopes.size());
        envelopes.forEach(envelope -> frames.add(toFrame(envelope)));
        return frames;
    }

    private OutgoingFrame toFrame(Envelope envelope) {
        return new OutgoingFrame(
                envelope.destination(),
                new Frame(FrameCodec.PROTOCOL_VERSION, membership.self().toThrift(), envelope.message()));
    }

    private final class Peers implements GossipPeers, AllotmentPeers, LoadPeers {
        @Override
        public List<Address> randomMembers(int count, Address excluded) {
            return membership.randomMembers(count, excluded);
        }

        @Override
        public List<Address> members() {
            return membership.others().stream().map(MemberInfo::address).toList();
        }

        @Override
        public List<Address> relayTargets() {
            return remoteDataCentres.relayTargets();
        }

        @Override
        public boolean isLocal(String routerId) {
            return membership.isLocal(routerId);
        }

        @Override
        public String selfId() {
            return membership.self().id();
        }

        @Override
        public String dataCentre() {
            return membership.self().dataCentre();
        }

        @Override
        public long incarnation() {
            return membership.self().incarnation();
        }

        @Override
        public List<String> localIds() {
            return membership.ids();
        }

        @Override
        public Address localAddress(String id) {
            MemberInfo member = membership.member(id);
            return member == null ? null : member.address();
        }

        @Override
        public Set<String> remoteDataCentres() {
            return remoteDataCentres.names();
        }

        @Override
        public List<MemberInfo> remoteMembers(String dataCentre) {
            return remoteDataCentres.members(dataCentre);
        }

        @Override
        public Address remoteOwner(String dataCentre, int bucket) {
            List<MemberInfo> members = remoteDataCentres.members(dataCentre);
            List<String> ids = members.stream().map(MemberInfo::id).toList();
            if (ids.isEmpty()) {
                return null;
            }
            String owner = RendezvousHash.balancedOwners(Allotment.OWNER_KEY, Allotment.BUCKETS, ids)
                    .get(bucket);
            return members.get(ids.indexOf(owner)).address();
        }

        @Override
        public int fleetSize() {
            return membership.others().size() + 1 + remoteDataCentres.routerCount();
        }
    }
}
