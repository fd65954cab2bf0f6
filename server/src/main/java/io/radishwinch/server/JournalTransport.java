package io.radishwinch.server;

import io.radishwinch.cluster.OutgoingFrame;
import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.journal.JournalPeer;
import io.radishwinch.cluster.journal.JournalWriters;
import io.radishwinch.cluster.journal.ShardedJournal;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.protocol.generated.JournalReply;
import io.radishwinch.protocol.generated.JournalRequest;
import io.radishwinch.protocol.generated.JournalResult;
import io.radishwinch.protocol.generated.JournalStep;
import io.radishwinch.protocol.generated.Message;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.Vertx;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Sends journal requests to the preferred writers of their shards, and serves those of other routers. */
final class JournalTransport implements JournalWriters {
    private static final System.Logger LOG = System.getLogger(JournalTransport.class.getName());

    /** Maximum number of requests that wait for a reply; further ones fail, so this router writes them itself. */
    private static final int MAX_PENDING_REQUESTS = 10_000;

    /** Maximum increments of an incarnation since the start; a member adds one each time it refutes a suspicion. */
    private static final long MAX_REFUTATIONS = 1000;

    /** Number of low bits of a sequence number that count the requests; the others contain the start of the router. */
    private static final int SEQUENCE_COUNT_BITS = 20;

    private static final char SEPARATOR = '_';

    private final Vertx vertx;
    private final PeerNode node;
    private final long timeoutMs;
    private final Consumer<List<OutgoingFrame>> sender;
    private final Map<Long, Pending> pending = new HashMap<>();
    private long nextSequence;

    JournalTransport(Vertx vertx, PeerNode node, long timeoutMs, Consumer<List<OutgoingFrame>> sender) {
        this.vertx = vertx;
        this.node = node;
        this.timeoutMs = timeoutMs;
        this.sender = sender;
        // A reply to the previous process at this address must not complete a request of this one.
        this.nextSequence = node.self().incarnation() << SEQUENCE_COUNT_BITS;
    }

    /** Request that waits for its reply. */
    private record Pending(UniEmitter<? super JournalPeer.Reply> emitter, long timerId) {}

    /** Returns the process identifier used in grants, which is unique for each start of a router. */
    static String processId(String routerId, long startedAtMs) {
        return routerId + SEPARATOR + startedAtMs;
    }

    @Override
    public Optional<JournalPeer> writerOf(int shard) {
        List<String> ids = new ArrayList<>();
        ids.add(node.self().id());
        allMembers().forEach(member -> ids.add(member.id()));
        String owner = RendezvousHash.owner("journal/" + shard, ids).orElseThrow();
        return owner.equals(node.self().id()) ? Optional.empty() : Optional.of(request -> sendRequest(owner, request));
    }

    @Override
    public boolean isLive(String processId) {
        int separatorIndex = processId.lastIndexOf(SEPARATOR);
        if (separatorIndex < 0) {
            return false;
        }
        String id = processId.substring(0, separatorIndex);
        long startedAtMs = Long.parseLong(processId.substring(separatorIndex + 1));
        if (id.equals(node.self().id())) {
            return isSameProcess(node.self(), startedAtMs);
        }
        return allMembers().stream().anyMatch(member -> member.id().equals(id) && isSameProcess(member, startedAtMs));
    }

    private static boolean isSameProcess(MemberInfo member, long startedAtMs) {
        long refutations = member.incarnation() - startedAtMs;
        return refutations >= 0 && refutations < MAX_REFUTATIONS;
    }

    private List<MemberInfo> allMembers() {
        List<MemberInfo> members = new ArrayList<>(node.members());
        node.remoteDataCentres().forEach(name -> members.addAll(node.remoteMembers(name)));
        return members;
    }

    private Uni<JournalPeer.Reply> sendRequest(String memberId, JournalPeer.Request request) {
        return Uni.createFrom().emitter(emitter -> {
            long sequence = nextSequence++;
            Optional<OutgoingFrame> frame = pending.size() >= MAX_PENDING_REQUESTS
                    ? Optional.empty()
                    : node.journalFrame(memberId, Message.journalRequest(toThrift(sequence, request)));
            if (frame.isEmpty()) {
                emitter.fail(new IllegalStateException("no connection to " + memberId));
                return;
            }
            long timerId = vertx.setTimer(timeoutMs, ignored -> {
                if (pending.remove(sequence) != null) {
                    emitter.fail(
                            new IllegalStateException("no reply from " + memberId + " within " + timeoutMs + " ms"));
                }
            });
            pending.put(sequence, new Pending(emitter, timerId));
            sender.accept(List.of(frame.get()));
        });
    }

    void receive(MemberInfo from, Message message, ShardedJournal journal) {
        if (message.isSetJournalReply()) {
            completePending(message.getJournalReply());
        } else if (message.isSetJournalRequest()) {
            JournalRequest request = message.getJournalRequest();
            journal.handle(fromThrift(request))
                    .subscribe()
                    .with(
                            reply -> sendReply(from, toThrift(request.getSequence(), reply)),
                            error -> LOG.log(
                                    System.Logger.Level.ERROR, "no reply to a journal request of " + from.id(), error));
        }
    }

    private void completePending(JournalReply reply) {
        Pending request = pending.remove(reply.getSequence());
        if (request != null) {
            vertx.cancelTimer(request.timerId());
            JournalPeer.Reply decoded;
            try {
                decoded = fromThrift(reply);
            } catch (RuntimeException e) {
                request.emitter().fail(new IllegalStateException("malformed reply of a journal writer", e));
                return;
            }
            request.emitter().complete(decoded);
        }
    }

    private void sendReply(MemberInfo to, JournalReply reply) {
        node.journalFrame(to.id(), Message.journalReply(reply)).ifPresent(frame -> sender.accept(List.of(frame)));
    }

    private static JournalRequest toThrift(long sequence, JournalPeer.Request request) {
        JournalRequest thrift = new JournalRequest(
                sequence,
                JournalStep.valueOf(request.step().name()),
                request.caller(),
                request.idempotencyKey(),
                ByteBuffer.wrap(request.fingerprint()),
                request.grantNonce());
        request.outcome().ifPresent(thrift::setOutcome);
        return thrift;
    }

    private static JournalPeer.Request fromThrift(JournalRequest request) {
        return new JournalPeer.Request(
                JournalPeer.Step.valueOf(request.getStep().name()),
                request.getCaller(),
                request.getIdempotencyKey(),
                request.getFingerprint(),
                request.getGrantNonce(),
                request.isSetOutcome() ? Optional.of(request.getOutcome()) : Optional.empty());
    }

    private static JournalReply toThrift(long sequence, JournalPeer.Reply reply) {
        JournalReply thrift =
                new JournalReply(sequence, JournalResult.valueOf(reply.result().name()), reply.grantNonce());
        reply.outcome().ifPresent(thrift::setOutcome);
        return thrift;
    }

    private static JournalPeer.Reply fromThrift(JournalReply reply) {
        return new JournalPeer.Reply(
                JournalPeer.Result.valueOf(reply.getResult().name()),
                reply.getGrantNonce(),
                reply.isSetOutcome() ? Optional.of(reply.getOutcome()) : Optional.empty());
    }
}
