package io.radishwinch.cluster.membership;

import io.radishwinch.protocol.generated.Ack;
import io.radishwinch.protocol.generated.Member;
import io.radishwinch.protocol.generated.MemberState;
import io.radishwinch.protocol.generated.Message;
import io.radishwinch.protocol.generated.Ping;
import io.radishwinch.protocol.generated.PingRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Membership of one data centre, by the SWIM protocol with suspicion and incarnation numbers.
 *
 * <p>Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
 * Protocol", DSN 2002. Two deviations keep removal within 5 s at any size: each member also probes its successor on a
 * hashed ring every second, so that detection does not depend on a random choice, and membership updates are pushed to
 * a few members immediately in addition to being piggybacked on probes.
 *
 * <p>A failed member is removed after at most 1,000 ms until the next ring probe, {@link #PROBE_TIMEOUT_MS} until it is
 * suspected and {@link #SUSPICION_TIMEOUT_MS} until it is declared dead, which leaves about 1 s for lost messages.
 * Times are in ms of this router's monotonic clock. Not thread-safe.
 */
public final class Membership {

    /** Time between two probes of one kind (ring or random), in ms. */
    static final long PROBE_INTERVAL_MS = 1_000;

    /** Time until other members are asked to probe the target, in ms. The network takes less than 5 ms. */
    static final long DIRECT_PROBE_TIMEOUT_MS = 250;

    /** Time until the target of an unanswered probe is suspected, in ms. */
    static final long PROBE_TIMEOUT_MS = 800;

    /** Time that a suspected member has to refute the suspicion, in ms. */
    static final long SUSPICION_TIMEOUT_MS = 2_000;

    /** Time between two ticks above which this router was paused and discards its outstanding probes, in ms. */
    static final long PAUSE_THRESHOLD_MS = 1_000;

    /** Time between attempts to reach seeds and dead members, in ms. */
    static final long SEED_INTERVAL_MS = 2_000;

    /** Time between attempts to reach seeds while no other member is known, in ms. */
    static final long JOIN_INTERVAL_MS = 500;

    /** Number of low bits of a sequence number that count the probes; the others contain the start of the router. */
    private static final int SEQUENCE_COUNT_BITS = 20;

    private static final int INDIRECT_PROBES = 3;
    private static final int PUSH_FANOUT = 4;
    private static final int SEEDS_PER_ATTEMPT = 3;
    private static final int MAX_SEEDS = 2_048;
    private static final int MAX_PENDING_PROBES = 1_024;

    private final MemberTable table = new MemberTable();
    private final MembershipUpdateQueue pendingUpdates = new MembershipUpdateQueue();
    private final Map<Long, Probe> probes = new LinkedHashMap<>();
    private final Map<String, Seed> seeds = new HashMap<>();
    private final List<MemberInfo> updatesToPush = new ArrayList<>();
    private final List<String> shuffledIds = new ArrayList<>();
    private final Random random;
    private final Consumer<MemberInfo> listener;

    private MemberInfo self;
    private long nextSequence;
    private long lastTickMs = Long.MIN_VALUE;
    private long nextRingProbeMs;
    private long nextRandomProbeMs;
    private long nextSeedMs;
    private boolean hasLeft;

    /** An outstanding probe. {@code requester} and {@code requesterSequence} are set if another member asked for it. */
    private static final class Probe {
        private final MemberInfo target;
        private final long startMs;
        private final Address requester;
        private final long requesterSequence;
        private boolean isIndirect;

        Probe(MemberInfo target, long startMs, Address requester, long requesterSequence) {
            this.target = target;
            this.startMs = startMs;
            this.requester = requester;
            this.requesterSequence = requesterSequence;
        }
    }

    /**
     * Creates the membership of a router without known peers.
     *
     * @param self state of this router; its incarnation should exceed that of an earlier process at the same address,
     *     for example the start time in ms, and is raised further if a peer knows a higher one
     * @param random source of random numbers
     * @param listener called for each change of another member
     */
    public Membership(MemberInfo self, Random random, Consumer<MemberInfo> listener) {
        this.self = self;
        this.random = random;
        this.listener = listener;
        // An acknowledgement to the previous process at this address must not complete a probe of this one. Sequence
        // number 0 means that no probe is acknowledged.
        this.nextSequence = (self.incarnation() << SEQUENCE_COUNT_BITS) + 1;
    }

    /** Returns the state of this router. */
    public MemberInfo self() {
        return self;
    }

    /** Returns the other alive or suspected members of the data centre, by id. */
    public List<MemberInfo> others() {
        return table.present();
    }

    /** Returns the ids of all members of the data centre, including this router unless it has left. */
    public List<String> ids() {
        List<String> ids = new ArrayList<>(table.present().size() + 1);
        table.present().forEach(info -> ids.add(info.id()));
        if (!hasLeft) {
            ids.add(self.id());
        }
        return ids;
    }

    /** Returns another member by its id, or null if it is unknown, dead or has left. */
    public MemberInfo member(String id) {
        MemberTable.Row row = table.row(id);
        return row == null || !row.info().isPresent() ? null : row.info();
    }

    /** Returns whether the router belongs to the data centre, as a member or a recently removed one. */
    public boolean isLocal(String id) {
        return id.equals(self.id()) || table.row(id) != null;
    }

    /** Returns the addresses of up to {@code count} random alive members, except the given one. */
    public List<Address> randomMembers(int count, Address excluded) {
        List<Address> chosen = new ArrayList<>(count);
        for (MemberInfo info : randomOthers(count + 1, "")) {
            if (chosen.size() < count && !info.address().equals(excluded)) {
                chosen.add(info.address());
            }
        }
        return chosen;
    }

    /** Returns whether no other member of the data centre is known. */
    public boolean isAlone() {
        return table.present().isEmpty();
    }

    /** Replaces the seeds. Members that are missing from the list stay members. */
    public void setSeeds(List<Seed> newSeeds) {
        seeds.clear();
        for (Seed seed : newSeeds) {
            boolean isSelf = seed.id().equals(self.id()) || seed.address().equals(self.address());
            if (!isSelf && seed.dataCentre().equals(self.dataCentre()) && seeds.size() < MAX_SEEDS) {
                seeds.put(seed.id(), seed);
            }
        }
        nextSeedMs = Long.MIN_VALUE;
    }

    /** Advances the time: checks outstanding probes and starts new ones. */
    public void tick(long nowMs, List<Envelope> out) {
        if (hasLeft) {
            return;
        }
        if (lastTickMs == Long.MIN_VALUE) {
            nextRingProbeMs = nowMs + random.nextInt((int) PROBE_INTERVAL_MS);
            nextRandomProbeMs = nowMs + random.nextInt((int) PROBE_INTERVAL_MS);
        } else if (nowMs - lastTickMs > PAUSE_THRESHOLD_MS) {
            probes.clear();
            table.restartSuspicions(nowMs);
        }
        lastTickMs = nowMs;
        checkProbeTimeouts(nowMs, out);
        declareDead(nowMs);
        startProbes(nowMs, out);
        contactSeeds(nowMs, out);
        pushUpdates(out);
        table.expireRemoved(nowMs);
    }

    /** Merges the state of the sender of a frame from the local data centre. */
    public void onFrameReceived(MemberInfo sender, long nowMs, List<Envelope> out) {
        if (hasLeft || sender.id().equals(self.id())) {
            return;
        }
        MemberTable.Row known = table.row(sender.id());
        // A delayed frame of the replaced process is not a new state, so it cannot remove its successor.
        if (mergeUpdate(sender, nowMs) && sender.isPresent()) {
            for (MemberInfo replaced : table.otherMembersAt(sender.address(), sender.id())) {
                mergeUpdate(replaced.withState(MemberState.DEAD), nowMs);
            }
        }
        boolean isSuspectedOrDead = known != null
                && sender.isPresent()
                && (known.info().incarnation() > sender.incarnation()
                        || (known.info().state() != MemberState.ALIVE
                                && known.info().incarnation() == sender.incarnation()));
        if (isSuspectedOrDead) {
            out.add(new Envelope(
                    sender.address(), ack(0, sender.id(), List.of(known.info().toThrift()))));
        }
        pushUpdates(out);
    }

    /** Responds to a probe. A sender that was not a member before receives the full member list. */
    public void onPing(MemberInfo sender, boolean wasMember, Ping ping, long nowMs, List<Envelope> out) {
        if (hasLeft) {
            return;
        }
        mergeUpdates(ping.getMembers(), nowMs);
        List<Member> members = wasMember ? piggybackedUpdates(sender) : fullMemberList();
        out.add(new Envelope(sender.address(), ack(ping.getSequence(), self.id(), members)));
        pushUpdates(out);
    }

    /** Probes a target on behalf of another member. */
    public void onPingRequest(MemberInfo sender, PingRequest request, long nowMs, List<Envelope> out) {
        if (hasLeft) {
            return;
        }
        mergeUpdates(request.getMembers(), nowMs);
        MemberInfo target = member(request.getTargetId());
        if (target != null && probes.size() < MAX_PENDING_PROBES) {
            probe(target, nowMs, sender.address(), request.getSequence(), out);
        }
        pushUpdates(out);
    }

    /** Handles the acknowledgement of a probe. */
    public void onAck(Ack ack, long nowMs, List<Envelope> out) {
        if (hasLeft) {
            return;
        }
        mergeUpdates(ack.getMembers(), nowMs);
        Probe probe = probes.get(ack.getSequence());
        if (probe != null && probe.target.id().equals(ack.getAboutId())) {
            probes.remove(ack.getSequence());
            if (probe.requester != null) {
                out.add(new Envelope(
                        probe.requester,
                        ack(probe.requesterSequence, probe.target.id(), piggybackedUpdates(probe.target))));
            }
        }
        pushUpdates(out);
    }

    /** Leaves immediately: notifies every member and ignores all later calls. */
    public void leave(List<Envelope> out) {
        if (hasLeft) {
            return;
        }
        self = self.withState(MemberState.LEFT);
        Message message = Message.ping(new Ping(nextSequence++, List.of(self.toThrift())));
        table.present().forEach(info -> out.add(new Envelope(info.address(), message)));
        hasLeft = true;
    }

    /** Returns whether the sender is a known member with at least its incarnation. */
    public boolean isKnownMember(MemberInfo sender) {
        MemberInfo known = member(sender.id());
        return known != null && known.incarnation() >= sender.incarnation();
    }

    private void startProbes(long nowMs, List<Envelope> out) {
        if (nowMs >= nextRingProbeMs) {
            nextRingProbeMs = nowMs + PROBE_INTERVAL_MS;
            MemberInfo successor = successor();
            if (successor != null) {
                probe(successor, nowMs, null, 0, out);
            }
        }
        if (nowMs >= nextRandomProbeMs) {
            nextRandomProbeMs = nowMs + PROBE_INTERVAL_MS;
            MemberInfo target = nextRandomTarget();
            if (target != null) {
                probe(target, nowMs, null, 0, out);
            }
        }
    }

    private void probe(MemberInfo target, long nowMs, Address requester, long requesterSequence, List<Envelope> out) {
        long sequence = nextSequence++;
        probes.put(sequence, new Probe(target, nowMs, requester, requesterSequence));
        out.add(new Envelope(target.address(), Message.ping(new Ping(sequence, piggybackedUpdates(target)))));
    }

    private void checkProbeTimeouts(long nowMs, List<Envelope> out) {
        for (Map.Entry<Long, Probe> entry : List.copyOf(probes.entrySet())) {
            Probe probe = entry.getValue();
            long ageMs = nowMs - probe.startMs;
            if (ageMs >= PROBE_TIMEOUT_MS) {
                probes.remove(entry.getKey());
                MemberInfo current = member(probe.target.id());
                boolean isSameIncarnation = current != null && current.incarnation() == probe.target.incarnation();
                if (probe.requester == null && isSameIncarnation) {
                    mergeUpdate(current.withState(MemberState.SUSPECT), nowMs);
                }
            } else if (ageMs >= DIRECT_PROBE_TIMEOUT_MS && !probe.isIndirect && probe.requester == null) {
                probe.isIndirect = true;
                Message request = Message.pingRequest(new PingRequest(
                        entry.getKey(),
                        probe.target.id(),
                        pendingUpdates.take(table.present().size())));
                for (MemberInfo intermediary : randomOthers(INDIRECT_PROBES, probe.target.id())) {
                    out.add(new Envelope(intermediary.address(), request));
                }
            }
        }
    }

    private void declareDead(long nowMs) {
        for (MemberTable.Row row : List.copyOf(table.rows())) {
            if (row.info().state() == MemberState.SUSPECT && nowMs - row.sinceMs() >= SUSPICION_TIMEOUT_MS) {
                mergeUpdate(row.info().withState(MemberState.DEAD), nowMs);
            }
        }
    }

    /** Returns the next alive member on the ring of hashed ids, or null if there is none. */
    private MemberInfo successor() {
        long selfHash = RendezvousHash.hash(self.id());
        MemberInfo best = null;
        long bestDistance = 0;
        for (MemberInfo info : table.present()) {
            long distance = RendezvousHash.hash(info.id()) - selfHash;
            if (info.state() == MemberState.ALIVE
                    && (best == null || Long.compareUnsigned(distance, bestDistance) < 0)) {
                best = info;
                bestDistance = distance;
            }
        }
        return best;
    }

    /**
     * Returns the next member of a shuffled round, or null if there is none. Rounds bound the time between two probes
     * of a member.
     */
    private MemberInfo nextRandomTarget() {
        while (true) {
            if (shuffledIds.isEmpty()) {
                table.present().forEach(info -> shuffledIds.add(info.id()));
                Collections.shuffle(shuffledIds, random);
                if (shuffledIds.isEmpty()) {
                    return null;
                }
            }
            MemberInfo next = member(shuffledIds.remove(shuffledIds.size() - 1));
            if (next != null) {
                return next;
            }
        }
    }

    /** Pings seeds and dead members, so that both sides of a partition rejoin. */
    private void contactSeeds(long nowMs, List<Envelope> out) {
        if (nowMs < nextSeedMs) {
            return;
        }
        List<Address> candidates = new ArrayList<>();
        seeds.values().stream()
                .filter(seed -> member(seed.id()) == null)
                .sorted(Comparator.comparing(Seed::id))
                .forEach(seed -> candidates.add(seed.address()));
        table.inState(MemberState.DEAD).stream()
                .map(MemberInfo::address)
                .filter(address -> !candidates.contains(address))
                .forEach(candidates::add);
        Collections.shuffle(candidates, random);
        int count = isAlone() ? SEEDS_PER_ATTEMPT : 1;
        for (Address address : candidates.subList(0, Math.min(count, candidates.size()))) {
            out.add(new Envelope(address, Message.ping(new Ping(nextSequence++, piggybackedUpdates(null)))));
        }
        nextSeedMs = nowMs + (isAlone() ? JOIN_INTERVAL_MS : SEED_INTERVAL_MS);
    }

    private void mergeUpdates(List<Member> members, long nowMs) {
        for (Member member : members) {
            mergeUpdate(MemberInfo.from(member), nowMs);
        }
    }

    /**
     * Merges a membership update and returns whether it was newer; refutes an update that declares this router suspect,
     * dead or left.
     */
    private boolean mergeUpdate(MemberInfo info, long nowMs) {
        if (!info.dataCentre().equals(self.dataCentre())) {
            return false;
        }
        if (info.id().equals(self.id())) {
            boolean isCurrent = info.incarnation() == self.incarnation() && info.state() == MemberState.ALIVE;
            if (info.incarnation() >= self.incarnation() && !isCurrent) {
                self = self.withIncarnation(info.incarnation() + 1);
                updatesToPush.add(self);
                pendingUpdates.add(self);
            }
            return false;
        }
        boolean isNewer = table.merge(info, nowMs);
        if (isNewer) {
            pendingUpdates.add(info);
            updatesToPush.add(info);
            listener.accept(info);
        }
        return isNewer;
    }

    private void pushUpdates(List<Envelope> out) {
        if (updatesToPush.isEmpty()) {
            return;
        }
        List<Member> members = new ArrayList<>();
        updatesToPush.forEach(info -> members.add(info.toThrift()));
        Message message = Message.ack(new Ack(0, self.id(), members));
        for (MemberInfo receiver : randomOthers(PUSH_FANOUT, "")) {
            out.add(new Envelope(receiver.address(), message));
        }
        for (MemberInfo update : updatesToPush) {
            if (update.state() == MemberState.SUSPECT) {
                out.add(new Envelope(update.address(), message));
            }
        }
        updatesToPush.clear();
    }

    private List<Member> piggybackedUpdates(MemberInfo receiver) {
        List<Member> members = pendingUpdates.take(table.present().size());
        if (receiver != null) {
            MemberTable.Row row = table.row(receiver.id());
            if (row != null && row.info().state() != MemberState.ALIVE) {
                members.add(row.info().toThrift());
            }
        }
        return members;
    }

    private List<Member> fullMemberList() {
        List<Member> members = new ArrayList<>();
        table.rows().forEach(row -> members.add(row.info().toThrift()));
        members.sort(java.util.Comparator.comparing(Member::getId));
        return members;
    }

    private List<MemberInfo> randomOthers(int count, String excludedId) {
        List<MemberInfo> candidates = new ArrayList<>();
        for (MemberInfo info : table.present()) {
            if (info.state() == MemberState.ALIVE && !info.id().equals(excludedId)) {
                candidates.add(info);
            }
        }
        int taken = Math.min(count, candidates.size());
        for (int i = 0; i < taken; i++) {
            Collections.swap(candidates, i, i + random.nextInt(candidates.size() - i));
        }
        return candidates.subList(0, taken);
    }

    private static Message ack(long sequence, String aboutId, List<Member> members) {
        return Message.ack(new Ack(sequence, aboutId, members));
    }
}
