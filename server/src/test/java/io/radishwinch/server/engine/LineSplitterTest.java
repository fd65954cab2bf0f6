package io.radishwinch.server.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.ByteRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against engines that send arbitrary bytes. */
class LineSplitterTest {
    private static final int MAX_LINE_BYTES = 32;

    /** Guards against lines that depend on where the network splits the stream. */
    @Property(seed = "20261204")
    void linesDoNotDependOnChunkBoundaries(
            @ForAll @Size(max = 400) List<@ByteRange(min = 9, max = 16) Byte> stream,
            @ForAll @IntRange(min = 1, max = 50) int chunkBytes) {
        byte[] bytes = toArray(stream);
        assertThat(split(bytes, chunkBytes)).isEqualTo(split(bytes, Math.max(1, bytes.length)));
    }

    /** Guards against unbounded memory use if an engine sends a line without end. */
    @Property(seed = "20261204")
    void pendingBytesStayWithinTheLimit(
            @ForAll @Size(max = 400) byte[] stream, @ForAll @IntRange(min = 1, max = 50) int chunkBytes) {
        LineSplitter splitter = new LineSplitter(MAX_LINE_BYTES, (bytes, offset, length) -> {
            assertThat(length).isBetween(1, MAX_LINE_BYTES + 1);
            return true;
        });
        try {
            for (int start = 0; start < stream.length; start += chunkBytes) {
                splitter.accept(Arrays.copyOfRange(stream, start, Math.min(stream.length, start + chunkBytes)));
                assertThat(splitter.pendingBytes()).isLessThanOrEqualTo(MAX_LINE_BYTES + 1);
            }
        } catch (MalformedLineException e) {
            assertThat(splitter.pendingBytes()).isLessThanOrEqualTo(MAX_LINE_BYTES + 1);
        }
    }

    /** Guards against exceptions other than the one that ends the stream. */
    @Property(seed = "20261204", tries = 2_000)
    void damagedLineIsParsedOrRejected(
            @ForAll @IntRange(min = 0, max = 200) int position, @ForAll byte replacement, @ForAll boolean isTruncated) {
        byte[] line = ("{\"type\":\"token\",\"request\":\"r\",\"epoch\":1,\"seq\":0,\"text\":\" a\","
                        + "\"layers\":[[0,12],[12,24]],\"stageUs\":[480,481],\"other\":{\"a\":[1]}}")
                .getBytes(StandardCharsets.UTF_8);
        int index = position % line.length;
        line[index] = replacement;
        int length = isTruncated ? index + 1 : line.length;
        try {
            assertThat(EngineLineParser.parse(line, 0, length).type).isEqualTo("token");
        } catch (MalformedLineException e) {
            assertThat(e.getMessage()).matches("(?s)(malformed line: |expected |unknown value of field ).+");
        }
    }

    /** Guards against a parser that accepts bytes that are not a line of the protocol. */
    @Property(seed = "20261204", tries = 2_000)
    void randomBytesAreRejected(@ForAll @Size(min = 1, max = 100) byte[] bytes) {
        boolean isRejected = false;
        try {
            EngineLineParser.parse(bytes, 0, bytes.length);
        } catch (MalformedLineException e) {
            isRejected = true;
        }
        assertThat(isRejected).isTrue();
    }

    private static List<String> split(byte[] stream, int chunkBytes) {
        List<String> lines = new ArrayList<>();
        LineSplitter splitter = new LineSplitter(MAX_LINE_BYTES, (bytes, offset, length) -> {
            lines.add(new String(bytes, offset, length, StandardCharsets.ISO_8859_1));
            return true;
        });
        try {
            for (int start = 0; start < stream.length; start += chunkBytes) {
                splitter.accept(Arrays.copyOfRange(stream, start, Math.min(stream.length, start + chunkBytes)));
            }
        } catch (MalformedLineException e) {
            lines.add("too long");
        }
        return lines;
    }

    private static byte[] toArray(List<Byte> list) {
        byte[] bytes = new byte[list.size()];
        for (int i = 0; i < bytes.length; i++) {
            bytes[i] = list.get(i);
        }
        return bytes;
    }
}
