package io.radishwinch.cluster.gossip;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Envelope;
import io.radishwinch.protocol.generated.BucketRequest;
import io.radishwinch.protocol.generated.Delta;
import io.radishwinch.protocol.generated.Digest;
import io.radishwinch.protocol.generated.Entry;
import io.radishwinch.protocol.generated.EntryKind;
import io.radishwinch.protocol.generated.EntryRequest;
import io.radishwinch.protocol.generated.EntryVersion;
import io.radishwinch.protocol.generated.Message;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Disseminates the entries of a {@link GossipTable}: each router pushes a new entry once to a few members, and digests
 * repair what a push missed.
 *
 * <p>Source: Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987 (rumor mongering with
 * anti-entropy as backup). Relays push entries of their own data centre to other data centres and exchange digests of
 * the fleet-wide kinds. Times are in ms of this router's clock; messages carry remaining times, so that clocks need not
 * agree.
 */
public final class Gossip {

    /**
     * Receivers of a durable entry. Each router sends an entry once, so this is also the number of copies per router.
     */
    static final int PUSH_FANOUT = 3;

    /** Receivers of a volatile entry. The next refresh replaces an entry that a push missed. */
    static final int VOLATILE_FANOUT = 2;

    /** Time between two pushes of durable entries that are not urgent, in ms. */
    static final long PUSH_INTERVAL_MS = 500;

    /**
     * Sustained rate of durable entries, in bytes/s: a third of what probes and digests leave of the limit of 3 KB/s.
     */
    static final long DURABLE_BYTES_PER_S = 500;

    /**
     * Maximum burst of durable entries, in bytes. It covers the largest value of a kind that is not urgent, sent to
     * three receivers.
     */
    static final long DURABLE_BURST_BYTES = 256 * 1024;

    /**
     * Sustained rate of volatile entries, in bytes/s: the other two thirds. Separate, so that a large durable entry
     * does not delay volatile ones.
     */
    static final long VOLATILE_BYTES_PER_S = 1_000;

    /** Maximum burst of volatile entries, in bytes: ten seconds at the sustained rate. */
    static final long VOLATILE_BURST_BYTES = 10_000;

    /** Time between two pushes of volatile entries, in ms. Batching saves frame headers. */
    static final long VOLATILE_INTERVAL_MS = 500;

    /** Time between two digests, in ms. */
    static final long DIGEST_INTERVAL_MS = 2_000;

    /** Time between two digests before the first synchronisation, in ms. */
    static final long JOIN_DIGEST_INTERVAL_MS = 250;

    /** Maximum size of the entries of one delta, in bytes. A larger entry is sent in a delta of its own. */
    static final int MAX_DELTA_BYTES = 64 * 1024;

    /** Maximum size of the entries sent for one request, in bytes. The next digest requests the rest. */
    static final int MAX_REPAIR_BYTES = 4 * 1024 * 1024;

    /**
     * Remaining time below which durable entries are not repaired, in ms, so that network delays cannot prolong an
     * entry.
     */
    static final long MIN_REPAIR_REMAINING_MS = 2 * DIGEST_INTERVAL_MS;

    /** Maximum number of versions in one bucket request. The next digest requests the rest. */
    static final int MAX_VERSIONS_PER_REQUEST = 4_096;

    /**
     * Maximum size of an entry that its first receiver in a data centre sends to all members, in bytes. It arrives
     * after one hop and is not forwarded; larger entries spread by rumor mongering, which divides the bytes evenly.
     */
    static final int MAX_DIRECT_BYTES = 8 * 1024;

    private static final long EXPIRY_INTERVAL_MS = 1_000;

    private final GossipTable table;
    private final GossipPeers peers;
    private final Predicate<GossipEntry> admission;
    private final Consumer<GossipEntry> listener;
    private final Map<EntryKey, PendingEntry> pending = new LinkedHashMap<>();
    private final ByteBudget durableBudget = new ByteBudget(DURABLE_BYTES_PER_S, DURABLE_BURST_BYTES);
    private final Set<String> differingWatchers = new HashSet<>();
    private boolean sharesEndpointState;
    private boolean hasElectedWatchers;
    private final ByteBudget volatileBudget = new ByteBudget(VOLATILE_BYTES_PER_S, VOLATILE_BURST_BYTES);
    private long nextPushMs = Long.MIN_VALUE;
    private long nextVolatileMs = Long.MIN_VALUE;
    private long nextDigestMs = Long.MIN_VALUE;
    private long nextRemoteDigestMs = Long.MIN_VALUE;
    private long nextExpiryMs = Long.MIN_VALUE;
    private boolean hasSynchronised;
    private boolean isComplete;

    private record EntryKey(EntryKind kind, String key) {}

    /** Source of an entry that awaits its push. */
    private enum Source {
        SELF,
        LOCAL_PEER,
        REMOTE_PEER
    }

    private record PendingEntry(GossipEntry entry, Address senderAddress, Source source) {}

    /**
     * Creates the dissemination of a table.
     *
     * @param admission tested before a newer entry is merged; an entry that fails is neither stored nor disseminated
     * @param listener called for each changed entry, including tombstones, and for each expired entry as a tombstone
     */
    public Gossip(
            GossipTable table, GossipPeers peers, Predicate<GossipEntry> admission, Consumer<GossipEntry> listener) {
        this.admission = admission;
        this.table = table;
        this.peers = peers;
        this.listener = listener;
    }

    /** Returns whether the durable entries have matched those of a peer at least once. */
    public boolean isSynchronised() {
        return hasSynchronised;
    }

    /**
     * Returns whether this router has had all durable entries at least once: it read them from their source, or matched
     * a router that is complete.
     */
    public boolean isComplete() {
        return isComplete;
    }

    /** Records that this router has read all entries from their source. */
    public void setComplete() {
        isComplete = true;
    }

    /**
     * Publishes an entry.
     *
     * @return false if the entry exceeds a bound or is not newer than the known one
     */
    public boolean publish(GossipEntry entry, long nowMs) {
        return accept(entry, null, Source.SELF, nowMs) == GossipTable.MergeResult.NEWER;
    }

    /** Stores an entry that the other routers receive by themselves, without pushing it. */
    public void store(GossipEntry entry, long nowMs) {
        if (table.merge(entry, nowMs) == GossipTable.MergeResult.NEWER) {
            listener.accept(entry);
        }
    }

    /** Replaces an entry with a tombstone that outlives it. Does nothing if the entry is unknown or already deleted. */
    public void withdraw(EntryKind kind, String key, String origin, long nowMs) {
        GossipEntry known = table.get(kind, key);
        if (known != null && !known.isTombstone()) {
            long deadlineMs = GossipTable.tombstoneDeadlineMs(known);
            accept(new GossipEntry(kind, key, known.version() + 1, origin, null, deadlineMs), null, Source.SELF, nowMs);
        }
    }

    /**
     * Sets whether endpoint load and ejections are shared between data centres. Small deployments need this, because
     * their data centres serve each other's requests; in large ones the traffic would exceed the limit.
     */
    public void setSharesEndpointState(boolean shares) {
        sharesEndpointState = shares;
    }

    /**
     * Sets whether configuration objects come from a few elected watchers, which send them to all members directly and
     * whose heartbeats reveal a missed object. Otherwise every router spreads them by rumor mongering.
     */
    public void setHasElectedWatchers(boolean isElected) {
        hasElectedWatchers = isElected;
    }

    /** Returns the hash of all fleet-wide durable entries, which is equal at routers with the same entries. */
    public long fleetHash() {
        return table.hashes(true).combinedHash();
    }

    /**
     * Compares the hash in a watcher's heartbeat with that of this router. A difference that lasts from one heartbeat
     * to the next is repaired by a digest, because entries may be on their way.
     */
    public void onFleetHash(Address from, String senderId, long remoteHash, List<Envelope> out) {
        boolean differed = differingWatchers.remove(senderId);
        if (remoteHash == fleetHash()) {
            return;
        }
        if (differed) {
            out.add(new Envelope(from, summaryDigest(false, true)));
        } else {
            differingWatchers.add(senderId);
        }
    }

    private boolean isFleetWide(EntryKind kind) {
        boolean isEndpointState = kind == EntryKind.EJECTION || kind == EntryKind.ENDPOINT_LOAD;
        return KindPolicy.of(kind).isFleetWide() || sharesEndpointState && isEndpointState;
    }

    /** Advances the time: pushes entries, sends digests and removes expired entries. */
    public void tick(long nowMs, List<Envelope> out) {
        if (nowMs >= nextExpiryMs) {
            nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
            for (GossipEntry expired : table.expire(nowMs)) {
                listener.accept(new GossipEntry(
                        expired.kind(),
                        expired.key(),
                        expired.version(),
                        expired.origin(),
                        null,
                        expired.deadlineMs()));
            }
        }
        boolean isDurableDue = nowMs >= nextPushMs;
        if (isDurableDue) {
            nextPushMs = nowMs + PUSH_INTERVAL_MS;
        }
        boolean isVolatileDue = nowMs >= nextVolatileMs;
        if (isVolatileDue) {
            nextVolatileMs = nowMs + VOLATILE_INTERVAL_MS;
        }
        push(nowMs, isDurableDue, isVolatileDue, out);
        if (nowMs >= nextDigestMs) {
            nextDigestMs = nowMs + (hasSynchronised ? DIGEST_INTERVAL_MS : JOIN_DIGEST_INTERVAL_MS);
            // A joining router compares the fleet-wide kinds first. They change seldom, so it can observe equality.
            peers.randomMembers(1, null)
                    .forEach(to -> out.add(new Envelope(to, summaryDigest(false, !hasSynchronised))));
        }
        if (nowMs >= nextRemoteDigestMs) {
            nextRemoteDigestMs = nowMs + DIGEST_INTERVAL_MS;
            peers.relayTargets().forEach(to -> out.add(new Envelope(to, summaryDigest(false, true))));
        }
    }

    /** Pushes all pending entries before this router leaves. */
    public void flush(long nowMs, List<Envelope> out) {
        push(nowMs, true, true, out);
    }

    /** Merges the entries of a peer. */
    public void onDelta(Address from, String senderId, boolean isLocal, Delta delta, long nowMs, List<Envelope> out) {
        List<GossipEntry> newerHere = new ArrayList<>();
        for (Entry wire : delta.getEntries()) {
            GossipEntry entry = GossipEntry.from(wire, nowMs);
            if (!isLocal && !isFleetWide(entry.kind())) {
                continue;
            }
            Source source = isLocal ? Source.LOCAL_PEER : Source.REMOTE_PEER;
            GossipTable.MergeResult merge = accept(entry, from, source, nowMs);
            // A restarted router whose versions are too low learns the version that it must exceed.
            if (merge == GossipTable.MergeResult.OLDER && entry.origin().equals(senderId)) {
                newerHere.add(table.get(entry.kind(), entry.key()));
            }
        }
        repair(newerHere, from, nowMs, out);
    }

    /** Compares a digest with the local hashes and requests the buckets that differ. */
    public void onDigest(Address from, boolean isLocal, Digest digest, List<Envelope> out) {
        boolean isFleetWide = digest.isFleetWide() || !isLocal;
        BucketHashes localHashes = table.hashes(isFleetWide);
        List<Long> remoteBucketHashes = digest.getBucketHashes();
        if (remoteBucketHashes.size() == 1) {
            boolean isEqual = remoteBucketHashes.get(0) == localHashes.combinedHash();
            hasSynchronised |= isEqual && digest.isReply();
            isComplete |= isEqual && digest.isReply();
            if (!digest.isReply()) {
                // Equal hashes of all buckets confirm a match as well, but not that this router is complete.
                out.add(new Envelope(
                        from,
                        isEqual && isComplete
                                ? summaryDigest(true, isFleetWide)
                                : Message.digest(new Digest(localHashes.toList(), true, isFleetWide))));
            }
            return;
        }
        if (remoteBucketHashes.size() != BucketHashes.BUCKETS) {
            return;
        }
        List<Long> localBucketHashes = localHashes.toList();
        List<Integer> differingBuckets = new ArrayList<>();
        List<EntryVersion> versions = new ArrayList<>();
        for (int i = 0; i < BucketHashes.BUCKETS && versions.size() < MAX_VERSIONS_PER_REQUEST; i++) {
            if (!localBucketHashes.get(i).equals(remoteBucketHashes.get(i))) {
                differingBuckets.add(i);
                table.durableEntries(i, isFleetWide).forEach(entry -> versions.add(entry.toVersion()));
            }
        }
        hasSynchronised |= differingBuckets.isEmpty();
        if (!differingBuckets.isEmpty()) {
            out.add(new Envelope(
                    from, Message.bucketRequest(new BucketRequest(differingBuckets, versions, isFleetWide))));
        }
    }

    /** Sends the entries that the peer lacks in the buckets and requests those that this router lacks. */
    public void onBucketRequest(Address from, boolean isLocal, BucketRequest request, long nowMs, List<Envelope> out) {
        boolean isFleetWide = request.isFleetWide() || !isLocal;
        Map<EntryKey, EntryVersion> remoteVersions = new HashMap<>();
        request.getVersions().forEach(v -> remoteVersions.put(new EntryKey(v.getKind(), v.getKey()), v));
        List<GossipEntry> newerHere = new ArrayList<>();
        List<EntryVersion> wanted = new ArrayList<>();
        for (int bucket : new HashSet<>(request.getBuckets())) {
            for (GossipEntry entry : table.durableEntries(bucket, isFleetWide)) {
                EntryVersion remoteVersion = remoteVersions.remove(new EntryKey(entry.kind(), entry.key()));
                if (remoteVersion == null || entry.supersedes(remoteVersion.getVersion(), remoteVersion.getOrigin())) {
                    newerHere.add(entry);
                } else if (entry.version() != remoteVersion.getVersion()
                        || !entry.origin().equals(remoteVersion.getOrigin())) {
                    wanted.add(remoteVersion);
                }
            }
        }
        wanted.addAll(remoteVersions.values());
        repair(newerHere, from, nowMs, out);
        if (!wanted.isEmpty()) {
            wanted.sort(java.util.Comparator.comparing(EntryVersion::getKind).thenComparing(EntryVersion::getKey));
            out.add(new Envelope(from, Message.entryRequest(new EntryRequest(wanted))));
        }
    }

    /** Sends the entries that a peer requested. */
    public void onEntryRequest(Address from, boolean isLocal, EntryRequest request, long nowMs, List<Envelope> out) {
        List<GossipEntry> found = new ArrayList<>();
        Set<EntryKey> seen = new HashSet<>();
        for (EntryVersion wanted : request.getWanted()) {
            GossipEntry entry = table.get(wanted.getKind(), wanted.getKey());
            boolean isAllowed = isLocal || KindPolicy.of(wanted.getKind()).isFleetWide();
            if (entry != null && isAllowed && seen.add(new EntryKey(wanted.getKind(), wanted.getKey()))) {
                found.add(entry);
            }
        }
        repair(found, from, nowMs, out);
    }

    private GossipTable.MergeResult accept(GossipEntry entry, Address sender, Source source, long nowMs) {
        GossipEntry known = table.get(entry.kind(), entry.key());
        boolean isNewer = known == null || entry.supersedes(known);
        if (isNewer && !admission.test(entry)) {
            return GossipTable.MergeResult.REJECTED;
        }
        GossipTable.MergeResult merge = table.merge(entry, nowMs);
        if (merge == GossipTable.MergeResult.NEWER) {
            EntryKey key = new EntryKey(entry.kind(), entry.key());
            pending.remove(key);
            pending.put(key, new PendingEntry(entry, sender, source));
            listener.accept(entry);
        }
        return merge;
    }

    private void push(long nowMs, boolean isDurableDue, boolean isVolatileDue, List<Envelope> out) {
        durableBudget.refill(nowMs);
        volatileBudget.refill(nowMs);
        if (pending.isEmpty()) {
            return;
        }
        List<GossipEntry> durableEntries = new ArrayList<>();
        List<GossipEntry> remoteEntries = new ArrayList<>();
        List<GossipEntry> volatileEntries = new ArrayList<>();
        List<GossipEntry> directEntries = new ArrayList<>();
        Address source = null;
        for (var iterator = pending.values().iterator(); iterator.hasNext(); ) {
            PendingEntry next = iterator.next();
            GossipEntry entry = next.entry();
            KindPolicy policy = KindPolicy.of(entry.kind());
            boolean isUrgent = policy.isUrgent() || sharesEndpointState && entry.kind() == EntryKind.EJECTION;
            if (!isUrgent && !(policy.isDurable() ? isDurableDue : isVolatileDue)) {
                continue;
            }
            boolean isDirect = isDirect(entry);
            boolean isForRemotes = isForRemotes(next);
            int fanout = localReceivers(next, isDirect)
                    + (isForRemotes ? peers.relayTargets().size() : 0);
            ByteBudget budget = policy.isDurable() ? durableBudget : volatileBudget;
            if (!budget.trySpend((long) entry.sizeBytes() * fanout, isUrgent)) {
                continue;
            }
            iterator.remove();
            if (entry.deadlineMs() <= nowMs) {
                continue;
            }
            if (!isDirect) {
                (policy.isDurable() ? durableEntries : volatileEntries).add(entry);
            } else if (next.source() != Source.LOCAL_PEER) {
                directEntries.add(entry);
            }
            if (isForRemotes) {
                remoteEntries.add(entry);
            }
            source = next.senderAddress();
        }
        for (Address to : directEntries.isEmpty() ? List.<Address>of() : peers.members()) {
            sendDeltas(directEntries, to, nowMs, out);
        }
        // Excludes the sender of the last entry, which saves a redundant copy in the usual case of one sender.
        for (Address to : durableEntries.isEmpty() ? List.<Address>of() : peers.randomMembers(PUSH_FANOUT, source)) {
            sendDeltas(durableEntries, to, nowMs, out);
        }
        for (Address to :
                volatileEntries.isEmpty() ? List.<Address>of() : peers.randomMembers(VOLATILE_FANOUT, source)) {
            sendDeltas(volatileEntries, to, nowMs, out);
        }
        for (Address to : remoteEntries.isEmpty() ? Collections.<Address>emptyList() : peers.relayTargets()) {
            sendDeltas(remoteEntries, to, nowMs, out);
        }
    }

    private boolean isDirect(GossipEntry entry) {
        return hasElectedWatchers && entry.kind() == EntryKind.CONFIGURATION && entry.sizeBytes() <= MAX_DIRECT_BYTES;
    }

    /** Returns whether relays send the entry to other data centres: it was published or first received in this one. */
    private boolean isForRemotes(PendingEntry pendingEntry) {
        GossipEntry entry = pendingEntry.entry();
        if (entry.origin().isEmpty()) {
            return hasElectedWatchers && pendingEntry.source() != Source.REMOTE_PEER;
        }
        return isFleetWide(entry.kind()) && peers.isLocal(entry.origin());
    }

    private int localReceivers(PendingEntry pendingEntry, boolean isDirect) {
        if (isDirect) {
            return pendingEntry.source() == Source.LOCAL_PEER
                    ? 0
                    : peers.members().size();
        }
        return KindPolicy.of(pendingEntry.entry().kind()).isDurable() ? PUSH_FANOUT : VOLATILE_FANOUT;
    }

    /** Sends entries that a peer lacks, except durable ones close to their deadline. */
    private void repair(List<GossipEntry> entries, Address to, long nowMs, List<Envelope> out) {
        List<GossipEntry> repairable = new ArrayList<>(entries);
        repairable.removeIf(entry -> entry.deadlineMs() != GossipEntry.NEVER
                && entry.deadlineMs() - nowMs < MIN_REPAIR_REMAINING_MS
                && KindPolicy.of(entry.kind()).isDurable());
        sendDeltas(repairable, to, nowMs, out);
    }

    private void sendDeltas(List<GossipEntry> entries, Address to, long nowMs, List<Envelope> out) {
        List<Entry> batch = new ArrayList<>();
        int batchBytes = 0;
        int totalBytes = 0;
        for (GossipEntry entry : entries) {
            if (batchBytes > 0 && batchBytes + entry.sizeBytes() > MAX_DELTA_BYTES) {
                out.add(new Envelope(to, Message.delta(new Delta(batch))));
                batch = new ArrayList<>();
                batchBytes = 0;
            }
            if (totalBytes > 0 && totalBytes + entry.sizeBytes() > MAX_REPAIR_BYTES) {
                break;
            }
            batch.add(entry.toThrift(nowMs));
            batchBytes += entry.sizeBytes();
            totalBytes += entry.sizeBytes();
        }
        if (!batch.isEmpty()) {
            out.add(new Envelope(to, Message.delta(new Delta(batch))));
        }
    }

    private Message summaryDigest(boolean isReply, boolean isFleetWide) {
        return Message.digest(new Digest(List.of(table.hashes(isFleetWide).combinedHash()), isReply, isFleetWide));
    }
}
