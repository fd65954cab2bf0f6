package io.radishwinch.cluster;

import io.radishwinch.cluster.membership.MemberInfo;
import io.radishwinch.cluster.membership.RendezvousHash;
import io.radishwinch.protocol.generated.Directory;
import io.radishwinch.protocol.generated.Member;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TTransportException;

/**
 * Encodes the members of a data centre as a directory entry and decides when to publish it.
 *
 * <p>One member, chosen by rendezvous hash, publishes the directory after the published value has differed from its own
 * view for {@link #STABILIZATION_PERIOD_MS}, so that a rolling restart causes at most one entry per period.
 */
final class DirectoryPublisher {

    /** Time that a difference must persist before the directory is published, in ms. */
    static final long STABILIZATION_PERIOD_MS = 1_000;

    private long differsSinceMs = Long.MIN_VALUE;

    /** Returns the value to publish now, or empty if the published value is current or another member publishes it. */
    Optional<byte[]> valueToPublish(MemberInfo self, List<MemberInfo> others, byte[] published, long nowMs) {
        Collection<String> ids = new ArrayList<>();
        others.forEach(info -> ids.add(info.id()));
        ids.add(self.id());
        boolean isPublisher = RendezvousHash.isAmongTop(self.id(), "directory/" + self.dataCentre(), ids, 1);
        byte[] current = isPublisher ? encode(self, others) : null;
        if (!isPublisher || Arrays.equals(current, published)) {
            differsSinceMs = Long.MIN_VALUE;
            return Optional.empty();
        }
        if (differsSinceMs == Long.MIN_VALUE) {
            differsSinceMs = nowMs;
        }
        if (nowMs - differsSinceMs < STABILIZATION_PERIOD_MS) {
            return Optional.empty();
        }
        differsSinceMs = Long.MIN_VALUE;
        return Optional.of(current);
    }

    /** Returns the members in a directory value, or an empty list if it is malformed. */
    static List<MemberInfo> decode(byte[] value) {
        try {
            Directory directory = new Directory();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(directory, value);
            return directory.getMembers().stream().map(MemberInfo::from).toList();
        } catch (TException | RuntimeException e) {
            return List.of();
        }
    }

    private static byte[] encode(MemberInfo self, List<MemberInfo> others) {
        List<Member> members = new ArrayList<>();
        // Incarnations and suspicions change more often than the set of members and are not published.
        others.forEach(info -> members.add(info.withIncarnation(0).toThrift()));
        members.add(self.withIncarnation(0).toThrift());
        members.sort(Comparator.comparing(Member::getId));
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(new Directory(members));
        } catch (TTransportException e) {
            throw new IllegalStateException("in-memory transport failed", e);
        } catch (TException e) {
            throw new IllegalStateException("directory of " + members.size() + " members cannot be encoded", e);
        }
    }
}
