package io.radishwinch.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.membership.Address;
import io.radishwinch.cluster.membership.Envelope;
import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.Membership;
import io.radishwinch.protocol.generated.Ack;
import io.radishwinch.protocol.generated.MemberState;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a failed member that stays one because of late acknowledgements to a router's previous process. */
class ProbeSequenceTest {
    private static final MemberInfo TARGET = member("target", 2, 1);
    private static final long RUN_MS = 3_000;

    @Test
    void acknowledgementsToThePreviousProcessDoNotCompleteProbesOfThisOne() {
        Membership previous = startedAt(1_000);
        Membership restarted = startedAt(2_000);
        for (long nowMs = 0; nowMs < RUN_MS; nowMs += 50) {
            acknowledgementsOfPings(restarted, nowMs);
            for (Ack late : acknowledgementsOfPings(previous, nowMs)) {
                previous.onAck(late, nowMs, new ArrayList<>());
                restarted.onAck(late, nowMs, new ArrayList<>());
            }
        }
        assertThat(restarted.others()).noneMatch(member -> member.state() == MemberState.ALIVE);
    }

    private static Membership startedAt(long startMs) {
        Membership membership = new Membership(member("self", 1, startMs), new Random(1), ignored -> {});
        membership.onFrameReceived(TARGET, 0, new ArrayList<>());
        return membership;
    }

    /** Ticks and returns the acknowledgements that the target would send. */
    private static List<Ack> acknowledgementsOfPings(Membership membership, long nowMs) {
        List<Envelope> out = new ArrayList<>();
        membership.tick(nowMs, out);
        return out.stream()
                .filter(envelope -> envelope.message().isSetPing())
                .map(envelope -> new Ack(envelope.message().getPing().getSequence(), TARGET.id(), List.of()))
                .toList();
    }

    private static MemberInfo member(String id, int port, long incarnation) {
        return new MemberInfo(id, "dc0", new Address("127.0.0.1", port), incarnation, MemberState.ALIVE);
    }
}
