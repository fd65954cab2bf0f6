package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.OutgoingFrame;
import io.radishwinch.cluster.PeerNode;
import io.radishwinch.cluster.journal.JournalPeer;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.Seed;
import io.radishwinch.protocol.generated.JournalReply;
import io.radishwinch.protocol.generated.JournalRequest;
import io.radishwinch.protocol.generated.JournalResult;
import io.radishwinch.protocol.generated.MemberState;
import io.radishwinch.protocol.generated.Message;
import io.vertx.core.Vertx;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against replies that complete a journal request that they do not answer. */
class JournalTransportTest {
    private static final int SHARDS = 64;
    private static final MemberInfo WRITER =
            new MemberInfo("writer", "dc", new Address("10.0.0.2", 1), 1, MemberState.ALIVE);

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    /** One start of a router that has the writer as its only peer. */
    private final class Process {
        private final List<OutgoingFrame> sent = new ArrayList<>();
        private final JournalTransport transport;

        Process(long startedAtMs) {
            PeerNode node = new PeerNode("router", "dc", new Address("10.0.0.1", 1), startedAtMs, 1);
            PeerNode writer = new PeerNode("writer", "dc", WRITER.address(), 1, 1);
            List<Seed> seeds = List.of(new Seed("writer", "dc", WRITER.address()));
            node.join(seeds, 0).stream()
                    .flatMap(ping -> writer.receive(ping.frame(), 0).stream())
                    .forEach(ack -> node.receive(ack.frame(), 0));
            transport = new JournalTransport(vertx, node, 60_000, sent::addAll);
        }

        /** Sends a request and returns its number and the reply, once there is one. */
        JournalRequest open(String key, AtomicReference<JournalPeer.Reply> reply) {
            return open(key, reply, new AtomicReference<>());
        }

        JournalRequest open(String key, AtomicReference<JournalPeer.Reply> reply, AtomicReference<Throwable> failure) {
            JournalPeer peer = IntStream.range(0, SHARDS)
                    .mapToObj(transport::writerOf)
                    .flatMap(Optional::stream)
                    .findFirst()
                    .orElseThrow();
            peer.call(new JournalPeer.Request(
                            JournalPeer.Step.OPEN, "caller", key, new byte[16], "nonce-" + key, Optional.empty()))
                    .subscribe()
                    .with(reply::set, failure::set);
            return sent.get(sent.size() - 1).frame().getMessage().getJournalRequest();
        }

        void receive(JournalReply reply) {
            transport.receive(WRITER, Message.journalReply(reply), null);
        }
    }

    private static JournalReply replay(JournalRequest request) {
        JournalReply reply = new JournalReply(request.getSequence(), JournalResult.REPLAY, request.getGrantNonce());
        return reply.setOutcome(ByteBuffer.wrap(new byte[] {1}));
    }

    /** Guards against a restarted router that gives a caller the outcome of a request of its earlier process. */
    @Test
    void aReplyToTheEarlierProcessCompletesNoRequestOfTheRestartedOne() {
        JournalRequest ofEarlierProcess = new Process(1_000).open("a", new AtomicReference<>());
        Process restarted = new Process(1_001);
        AtomicReference<JournalPeer.Reply> reply = new AtomicReference<>();
        JournalRequest pending = restarted.open("b", reply);
        restarted.receive(replay(ofEarlierProcess));
        assertThat(reply).hasNullValue();
        restarted.receive(replay(pending));
        restarted.receive(replay(pending));
        assertThat(reply.get().grantNonce()).isEqualTo("nonce-b");
    }

    /** Guards against a call that waits to its deadline because the reply to its journal request cannot be read. */
    @Test
    void aReplyWithoutAResultFailsItsRequest() {
        Process process = new Process(1_000);
        AtomicReference<JournalPeer.Reply> reply = new AtomicReference<>();
        AtomicReference<Throwable> failure = new AtomicReference<>();
        JournalRequest pending = process.open("a", reply, failure);
        process.receive(new JournalReply().setSequence(pending.getSequence()).setGrantNonce(pending.getGrantNonce()));
        assertThat(reply).hasNullValue();
        assertThat(failure.get()).hasMessageContaining("malformed");
    }
}
