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
 * Dissemination of a {@link GossipTable}: changes are pushed once to a few members by each router that learns them, and
 * digests repair what a push missed.
 *
 * <p>Source: Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987 (rumor mongering with
 * anti-entropy as backup). Between data centres, relays push entries that originate in their own data centre and
 * exchange digests of the fleet-wide kinds. Times are in ms of the router's own clock; the wire carries remaining
 * times.
 */
public final class Gossip {

    /** Receivers of a durable change; each router sends a change once, so the cost is this many copies per router. */
    static final int PUSH_FANOUT = 3;

    /** Receivers of a volatile change; the next refresh replaces what a push missed. */
    static final int VOLATILE_FANOUT = 2;

    /** Time between two pushes of changes that are not urgent, in ms. */
    static final long PUSH_INTERVAL_MS = 500;

    /** Sustained rate of durable changes, in bytes/s: a third of what 3 KB/s leave after probes and digests. */
    static final long DURABLE_BYTES_PER_S = 500;

    /** Largest burst of durable changes, in bytes: one value of the largest kind, to three receivers. */
    static final long DURABLE_BURST_BYTES = 256 * 1024;

    /** Sustained rate of volatile changes, in bytes/s: the other two thirds, which a large change cannot use up. */
    static final long VOLATILE_BYTES_PER_S = 1_000;

    /** Largest burst of volatile changes, in bytes; the readings of ten seconds. */
    static final long VOLATILE_BURST_BYTES = 10_000;

    /** Time between two pushes of volatile changes, in ms; batches share the header of a frame. */
    static final long VOLATILE_INTERVAL_MS = 500;

    /** Time between two digests, in ms. */
    static final long DIGEST_INTERVAL_MS = 2_000;

    /** Time between two digests until the first synchronisation, in ms. */
    static final long JOIN_DIGEST_INTERVAL_MS = 250;

    /** Content of one delta, in bytes; a larger entry travels alone. */
    static final int MAX_DELTA_BYTES = 64 * 1024;

    /** Content of the answer to one digest, in bytes; the next digest continues. */
    static final int MAX_REPAIR_BYTES = 4 * 1024 * 1024;

    /** Entries close to their deadline are not repaired, so that transit times cannot keep them alive, in ms. */
    static final long MIN_REPAIR_REMAINING_MS = 2 * DIGEST_INTERVAL_MS;

    /** Versions in one bucket request; the next digest continues. */
    static final int MAX_VERSIONS_PER_REQUEST = 4_096;

    private static final long EXPIRY_INTERVAL_MS = 1_000;

    private final GossipTable table;
    private final GossipPeers peers;
    private final Predicate<GossipEntry> admission;
    private final Consumer<GossipEntry> listener;
    private final Map<EntryKey, PendingEntry> pending = new LinkedHashMap<>();
    private final ByteBudget durableBudget = new ByteBudget(DURABLE_BYTES_PER_S, DURABLE_BURST_BYTES);
    private boolean sharesEndpointState;
    private ByteBudget volatileBudget = new ByteBudget(VOLATILE_BYTES_PER_S, VOLATILE_BURST_BYTES);
    private long nextPushMs = Long.MIN_VALUE;
    private long nextVolatileMs = Long.MIN_VALUE;
    private long nextDigestMs = Long.MIN_VALUE;
    private long nextRemoteDigestMs = Long.MIN_VALUE;
    private long nextExpiryMs = Long.MIN_VALUE;
    private boolean hasSynchronised;

    private record EntryKey(EntryKind kind, String key) {}

    private record PendingEntry(GossipEntry entry, Address senderAddress) {}

    /**
     * Creates the dissemination of a table.
     *
     * @param admission asked before a newer entry is taken over; a refused one is neither kept nor spread
     * @param listener told about each entry that changed, tombstones included, and, as tombstones, entries that expired
     */
    public Gossip(
            GossipTable table, GossipPeers peers, Predicate<GossipEntry> admission, Consumer<GossipEntry> listener) {
        this.admission = admission;
        this.table = table;
        this.peers = peers;
        this.listener = listener;
    }

    /** Returns whether the durable entries were equal to those of a peer at least once. */
    public boolean isSynchronised() {
        return hasSynchronised;
    }

    /**
     * Publishes an entry.
     *
     * @return false if the entry is above a bound or not newer than what is known
     */
    public boolean publish(GossipEntry entry, long nowMs) {
        return accept(entry, null, nowMs) == GossipTable.MergeResult.NEWER;
    }

    /** Deletes an entry by a tombstone that outlives it; does nothing if there is none. */
    public void withdraw(EntryKind kind, String key, String origin, long nowMs) {
        GossipEntry known = table.get(kind, key);
        if (known != null && !known.isTombstone()) {
            long deadlineMs = GossipTable.tombstoneDeadlineMs(known);
            accept(new GossipEntry(kind, key, known.version() + 1, origin, null, deadlineMs), null, nowMs);
        }
    }

    /**
     * Sets whether data centres tell each other of work on endpoints and of endpoints that do not answer. Small
     * deployments need it, since their data centres serve each other's requests; large ones could not afford it.
     */
    public void setSharesEndpointState(boolean shares) {
        sharesEndpointState = shares;
    }

    private boolean isFleetWide(EntryKind kind) {
        boolean isReading = kind == EntryKind.EJECTION || kind == EntryKind.ENDPOINT_LOAD;
        return KindPolicy.of(kind).isFleetWide() || sharesEndpointState && isReading;
    }

    /** Sets the sustained rate of volatile changes, in bytes/s. */
    public void setVolatileBytesPerS(long bytesPerS) {
        volatileBudget = new ByteBudget(bytesPerS, VOLATILE_BURST_BYTES);
    }

    /** Advances time: pushes changes, starts digests, removes expired entries. */
    public void tick(long nowMs, List<Envelope> out) {
        if (nowMs >= nextExpiryMs) {
            nextExpiryMs = nowMs + EXPIRY_INTERVAL_MS;
            for (GossipEntry gone : table.expire(nowMs)) {
                listener.accept(new GossipEntry(
                        gone.kind(), gone.key(), gone.version(), gone.origin(), null, gone.deadlineMs()));
            }
        }
        boolean durables = nowMs >= nextPushMs;
        if (durables) {
            nextPushMs = nowMs + PUSH_INTERVAL_MS;
        }
        boolean volatiles = nowMs >= nextVolatileMs;
        if (volatiles) {
            nextVolatileMs = nowMs + VOLATILE_INTERVAL_MS;
        }
        push(nowMs, durables, volatiles, out);
        if (nowMs >= nextDigestMs) {
            nextDigestMs = nowMs + (hasSynchronised ? DIGEST_INTERVAL_MS : JOIN_DIGEST_INTERVAL_MS);
            // A joining router compares fleet-wide kinds first: they change seldom, so equality is observable.
            peers.randomMembers(1, null)
                    .forEach(to -> out.add(new Envelope(to, summaryDigest(false, !hasSynchronised))));
        }
        if (nowMs >= nextRemoteDigestMs) {
            nextRemoteDigestMs = nowMs + DIGEST_INTERVAL_MS;
            peers.relayTargets().forEach(to -> out.add(new Envelope(to, summaryDigest(false, true))));
        }
    }

    /** Pushes everything that waits, before this router leaves. */
    public void flush(long nowMs, List<Envelope> out) {
        push(nowMs, true, true, out);
    }

    /** Takes changes from a peer. */
    public void onDelta(Address from, String senderId, boolean local, Delta delta, long nowMs, List<Envelope> out) {
        List<GossipEntry> newerHere = new ArrayList<>();
        for (Entry wire : delta.getEntries()) {
            GossipEntry entry = GossipEntry.from(wire, nowMs);
            if (!local && !isFleetWide(entry.kind())) {
                continue;
            }
            GossipTable.MergeResult merge = accept(entry, from, nowMs);
            // A restarted router that numbers its entries too low learns the version that it has to exceed.
            if (merge == GossipTable.MergeResult.OLDER && entry.origin().equals(senderId)) {
                newerHere.add(table.get(entry.kind(), entry.key()));
            }
        }
        repair(newerHere, from, nowMs, out);
    }

    /** Compares digests. */
    public void onDigest(Address from, boolean local, Digest digest, List<Envelope> out) {
        boolean fleetWide = digest.isFleetWide() || !local;
        BucketHashes own = table.hashes(fleetWide);
        List<Long> theirs = digest.getBucketHashes();
        if (theirs.size() == 1) {
            boolean equal = theirs.get(0) == own.combinedHash();
            hasSynchronised |= equal && digest.isReply();
            if (!digest.isReply()) {
                out.add(new Envelope(
                        from,
                        equal
                                ? summaryDigest(true, fleetWide)
                                : Message.digest(new Digest(own.toList(), true, fleetWide))));
            }
            return;
        }
        if (theirs.size() != BucketHashes.BUCKETS) {
            return;
        }
        List<Long> ours = own.toList();
        List<Integer> differing = new ArrayList<>();
        List<EntryVersion> versions = new ArrayList<>();
        for (int i = 0; i < BucketHashes.BUCKETS && versions.size() < MAX_VERSIONS_PER_REQUEST; i++) {
            if (!ours.get(i).equals(theirs.get(i))) {
                differing.add(i);
                table.durableEntries(i, fleetWide).forEach(entry -> versions.add(entry.toVersion()));
            }
        }
        hasSynchronised |= differing.isEmpty();
        if (!differing.isEmpty()) {
            out.add(new Envelope(from, Message.bucketRequest(new BucketRequest(differing, versions, fleetWide))));
        }
    }

    /** Sends what the peer lacks in the buckets and asks for what this router lacks. */
    public void onBucketRequest(Address from, boolean local, BucketRequest request, long nowMs, List<Envelope> out) {
        boolean fleetWide = request.isFleetWide() || !local;
        Map<EntryKey, EntryVersion> theirs = new HashMap<>();
        request.getVersions().forEach(v -> theirs.put(new EntryKey(v.getKind(), v.getKey()), v));
        List<GossipEntry> newerHere = new ArrayList<>();
        List<EntryVersion> wanted = new ArrayList<>();
        for (int bucket : new HashSet<>(request.getBuckets())) {
            for (GossipEntry entry : table.durableEntries(bucket, fleetWide)) {
                EntryVersion their = theirs.remove(new EntryKey(entry.kind(), entry.key()));
                if (their == null || entry.supersedes(their.getVersion(), their.getOrigin())) {
                    newerHere.add(entry);
                } else if (entry.version() != their.getVersion()
                        || !entry.origin().equals(their.getOrigin())) {
                    wanted.add(their);
                }
            }
        }
        wanted.addAll(theirs.values());
        repair(newerHere, from, nowMs, out);
        if (!wanted.isEmpty()) {
            wanted.sort(java.util.Comparator.comparing(EntryVersion::getKind).thenComparing(EntryVersion::getKey));
            out.add(new Envelope(from, Message.entryRequest(new EntryRequest(wanted))));
        }
    }

    /** Sends the entries that a peer asked for. */
    public void onEntryRequest(Address from, boolean local, EntryRequest request, long nowMs, List<Envelope> out) {
        List<GossipEntry> found = new ArrayList<>();
        Set<EntryKey> seen = new HashSet<>();
        for (EntryVersion wanted : request.getWanted()) {
            GossipEntry entry = table.get(wanted.getKind(), wanted.getKey());
            boolean allowed = local || KindPolicy.of(wanted.getKind()).isFleetWide();
            if (entry != null && allowed && seen.add(new EntryKey(wanted.getKind(), wanted.getKey()))) {
                found.add(entry);
            }
        }
        repair(found, from, nowMs, out);
    }

    private GossipTable.MergeResult accept(GossipEntry entry, Address source, long nowMs) {
        GossipEntry known = table.get(entry.kind(), entry.key());
        boolean newer = known == null || entry.supersedes(known);
        if (newer && !admission.test(entry)) {
            return GossipTable.MergeResult.REJECTED;
        }
        GossipTable.MergeResult merge = table.merge(entry, nowMs);
        if (merge == GossipTable.MergeResult.NEWER) {
            EntryKey key = new EntryKey(entry.kind(), entry.key());
            pending.remove(key);
            pending.put(key, new PendingEntry(entry, source));
            listener.accept(entry);
        }
        return merge;
    }

    private void push(long nowMs, boolean durables, boolean refreshed, List<Envelope> out) {
        durableBudget.refill(nowMs);
        volatileBudget.refill(nowMs);
        if (pending.isEmpty()) {
            return;
        }
        List<GossipEntry> durable = new ArrayList<>();
        List<GossipEntry> remote = new ArrayList<>();
        List<GossipEntry> volatiles = new ArrayList<>();
        Address source = null;
        for (var iterator = pending.values().iterator(); iterator.hasNext(); ) {
            PendingEntry next = iterator.next();
            GossipEntry entry = next.entry();
            KindPolicy policy = KindPolicy.of(entry.kind());
            boolean isUrgent = policy.isUrgent() || sharesEndpointState && entry.kind() == EntryKind.EJECTION;
            if (!isUrgent && !(policy.isDurable() ? durables : refreshed)) {
                continue;
            }
            boolean isForRemotes =
                    isFleetWide(entry.kind()) && !entry.origin().isEmpty() && peers.isLocal(entry.origin());
            int fanout = (policy.isDurable() ? PUSH_FANOUT : VOLATILE_FANOUT)
                    + (isForRemotes ? peers.relayTargets().size() : 0);
            ByteBudget budget = policy.isDurable() ? durableBudget : volatileBudget;
            if (!budget.trySpend((long) entry.sizeBytes() * fanout, isUrgent)) {
                continue;
            }
            iterator.remove();
            if (entry.deadlineMs() <= nowMs) {
                continue;
            }
            (policy.isDurable() ? durable : volatiles).add(entry);
            if (isForRemotes) {
                remote.add(entry);
            }
            source = next.senderAddress();
        }
        // The sender of the last entry is excluded, which saves one useless copy in the usual case of one sender.
        for (Address to : durable.isEmpty() ? List.<Address>of() : peers.randomMembers(PUSH_FANOUT, source)) {
            sendDeltas(durable, to, nowMs, out);
        }
        for (Address to : volatiles.isEmpty() ? List.<Address>of() : peers.randomMembers(VOLATILE_FANOUT, source)) {
            sendDeltas(volatiles, to, nowMs, out);
        }
        for (Address to : remote.isEmpty() ? Collections.<Address>emptyList() : peers.relayTargets()) {
            sendDeltas(remote, to, nowMs, out);
        }
    }

    /** Sends entries that a peer lacks, except those close to their deadline. */
    private void repair(List<GossipEntry> entries, Address to, long nowMs, List<Envelope> out) {
        List<GossipEntry> lasting = new ArrayList<>(entries);
        lasting.removeIf(entry -> entry.deadlineMs() != GossipEntry.NEVER
                && entry.deadlineMs() - nowMs < MIN_REPAIR_REMAINING_MS
                && KindPolicy.of(entry.kind()).isDurable());
        sendDeltas(lasting, to, nowMs, out);
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

    private Message summaryDigest(boolean reply, boolean fleetWide) {
        return Message.digest(new Digest(List.of(table.hashes(fleetWide).combinedHash()), reply, fleetWide));
    }
}
