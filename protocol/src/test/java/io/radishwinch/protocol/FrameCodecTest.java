package io.radishwinch.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.protocol.generated.Ack;
import io.radishwinch.protocol.generated.Delta;
import io.radishwinch.protocol.generated.Entry;
import io.radishwinch.protocol.generated.EntryKind;
import io.radishwinch.protocol.generated.Frame;
import io.radishwinch.protocol.generated.Member;
import io.radishwinch.protocol.generated.MemberState;
import io.radishwinch.protocol.generated.Message;
import io.radishwinch.protocol.generated.Ping;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Guards against frames of a faulty or malicious peer that crash the codec or make it allocate memory without a bound.
 */
class FrameCodecTest {

    private static final Member SENDER = new Member("r1", "dc1", "127.0.0.1", 7000, 5, MemberState.ALIVE);

    private static Frame frame(Message message) {
        return new Frame(FrameCodec.PROTOCOL_VERSION, SENDER, message);
    }

    private static Frame randomFrame(Random random) {
        if (random.nextBoolean()) {
            return frame(Message.ping(new Ping(random.nextLong(), List.of(SENDER))));
        }
        Entry entry = new Entry(EntryKind.CRASH, "k" + random.nextInt(), random.nextLong(), "r1", 9);
        byte[] value = new byte[random.nextInt(3000)];
        random.nextBytes(value);
        entry.setValue(value);
        return frame(Message.delta(new Delta(List.of(entry, entry))));
    }

    @Property(tries = 300, seed = "7001")
    void frames_survive_any_split_of_the_stream(@ForAll long seed, @ForAll @IntRange(min = 1, max = 700) int maxChunk)
            throws FrameException {
        Random random = new Random(seed);
        List<Frame> sent = new ArrayList<>();
        ByteBuffer stream = ByteBuffer.allocate(100_000);
        for (int i = 0; i < 5; i++) {
            sent.add(randomFrame(random));
            stream.put(FrameCodec.encode(sent.get(i)));
        }
        FrameDecoder decoder = new FrameDecoder();
        List<Frame> received = new ArrayList<>();
        for (int at = 0; at < stream.position(); ) {
            int length = Math.min(1 + random.nextInt(maxChunk), stream.position() - at);
            received.addAll(decoder.feed(stream.array(), at, length));
            at += length;
        }
        assertThat(received).isEqualTo(sent);
        assertThat(decoder.hasPartialFrame()).isFalse();
    }

    @Property(tries = 1000, seed = "7002")
    void corrupted_frames_fail_with_a_typed_error_and_a_bounded_buffer(@ForAll long seed) throws FrameException {
        Random random = new Random(seed);
        byte[] bytes = FrameCodec.encode(randomFrame(random));
        for (int flips = 1 + random.nextInt(8); flips > 0; flips--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        FrameDecoder decoder = new FrameDecoder();
        try {
            decoder.feed(bytes, 0, bytes.length - random.nextInt(2));
        } catch (FrameException e) {
            assertThat(e.kind()).isNotNull();
            assertThatThrownBy(() -> decoder.feed(bytes, 0, 0)).isSameAs(e);
        }
        assertThat(decoder.bufferedCapacityBytes())
                .isLessThanOrEqualTo(FrameCodec.PREFIX_BYTES + FrameCodec.MAX_FRAME_BYTES);
    }

    @Property(tries = 1000, seed = "7002")
    void random_content_never_crashes_the_decoder(@ForAll byte[] content) {
        byte[] bytes = ByteBuffer.allocate(4 + content.length)
                .putInt(content.length)
                .put(content)
                .array();
        FrameDecoder decoder = new FrameDecoder();
        try {
            decoder.feed(bytes, 0, bytes.length);
        } catch (FrameException e) {
            assertThat(e.kind()).isNotNull();
        }
    }

    @Example
    void a_length_above_the_limit_is_rejected_before_the_buffer_grows() {
        FrameDecoder decoder = new FrameDecoder();
        byte[] prefix =
                ByteBuffer.allocate(4).putInt(FrameCodec.MAX_FRAME_BYTES + 1).array();
        assertThatThrownBy(() -> decoder.feed(prefix, 0, 4))
                .isInstanceOfSatisfying(
                        FrameException.class, e -> assertThat(e.kind()).isEqualTo(FrameException.Kind.LENGTH));
        assertThat(decoder.bufferedCapacityBytes()).isLessThan(1024);
    }

    @Example
    void a_list_that_claims_more_elements_than_the_frame_holds_is_rejected() throws FrameException {
        byte[] bytes = FrameCodec.encode(frame(Message.ack(new Ack(1, "r2", List.of()))));
        int header = -1;
        for (int i = 0; i < bytes.length - 2; i++) {
            if (bytes[i] == 'r' && bytes[i + 1] == '2') {
                header = i + 3;
            }
        }
        byte[] grown = java.util.Arrays.copyOf(bytes, bytes.length + 4);
        System.arraycopy(new byte[] {(byte) 0xfc, (byte) 0xff, (byte) 0xff, 3}, 0, grown, header, 4);
        ByteBuffer.wrap(grown).putInt(grown.length - 4);
        assertThatThrownBy(() -> new FrameDecoder().feed(grown, 0, grown.length))
                .isInstanceOfSatisfying(
                        FrameException.class, e -> assertThat(e.kind()).isEqualTo(FrameException.Kind.MALFORMED));
    }

    @Example
    void another_protocol_version_and_an_oversize_value_fail_with_their_kind() throws FrameException {
        Frame newer = new Frame(9, SENDER, Message.ping(new Ping(1, List.of())));
        byte[] bytes = FrameCodec.encode(newer);
        assertThatThrownBy(() -> new FrameDecoder().feed(bytes, 0, bytes.length))
                .isInstanceOfSatisfying(
                        FrameException.class, e -> assertThat(e.kind()).isEqualTo(FrameException.Kind.VERSION));
        Entry entry = new Entry(EntryKind.CONFIGURATION, "k", 1, "", 0);
        entry.setValue(new byte[FrameCodec.MAX_FRAME_BYTES]);
        assertThatThrownBy(() -> FrameCodec.encode(frame(Message.delta(new Delta(List.of(entry))))))
                .isInstanceOfSatisfying(
                        FrameException.class, e -> assertThat(e.kind()).isEqualTo(FrameException.Kind.LENGTH));
    }
}
