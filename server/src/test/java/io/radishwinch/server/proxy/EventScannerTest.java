package io.radishwinch.server.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.buffer.Buffer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Guards against partial, repeated or lost events in a stream that is split into arbitrary chunks, or that resumes at
 * another endpoint after a failure in the middle of an event.
 */
class EventScannerTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversion: 3\nid: 3\ndata: c\n\n";

    @Test
    void anEventIsForwardedOnlyWhenComplete() {
        EventScanner scanner = new EventScanner(RequestHead.NONE);
        assertThat(scanner.feed(Buffer.buffer("id: 1\nda")).length()).isZero();
        assertThat(scanner.hasPartialEvent()).isTrue();
        assertThat(scanner.feed(Buffer.buffer("ta: a\n\nid: 2")).toString()).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(scanner.lastEventId()).isEqualTo(1);
        assertThat(scanner.hasPartialEvent()).isTrue();
    }

    @Test
    void eventsThatTheCallerAlreadyHasAreDropped() {
        EventScanner scanner = new EventScanner(2);
        assertThat(scanner.feed(Buffer.buffer(STREAM)).toString()).isEqualTo("version: 3\nid: 3\ndata: c\n\n");
        assertThat(scanner.eventCount()).isEqualTo(1);
    }

    @Test
    void aDroppedPartialEventLeavesNoBytesInTheResumedStream() {
        EventScanner scanner = new EventScanner(RequestHead.NONE);
        scanner.feed(Buffer.buffer("id: 1\ndata: a\n\nid: 2\nda"));
        scanner.startResponse();
        assertThat(scanner.feed(Buffer.buffer("id: 2\ndata: b\n\n")).toString()).isEqualTo("id: 2\ndata: b\n\n");
    }

    @Property(tries = 300, seed = "3")
    void chunkBoundariesDoNotChangeTheOutput(
            @ForAll @IntRange(min = 1, max = 20) int first, @ForAll @IntRange(min = 1, max = 20) int second) {
        EventScanner scanner = new EventScanner(RequestHead.NONE);
        Buffer out = Buffer.buffer();
        int at = 0;
        boolean odd = false;
        while (at < STREAM.length()) {
            int end = Math.min(STREAM.length(), at + (odd ? first : second));
            out.appendBuffer(scanner.feed(Buffer.buffer(STREAM.substring(at, end))));
            at = end;
            odd = !odd;
        }
        assertThat(out.toString()).isEqualTo(STREAM);
        assertThat(scanner.eventCount()).isEqualTo(3);
        assertThat(scanner.hasPartialEvent()).isFalse();
    }

    @Property(tries = 300, seed = "5")
    void arbitraryBytesAreEitherForwardedOrBuffered(@ForAll byte[] bytes) {
        EventScanner scanner = new EventScanner(RequestHead.NONE);
        Buffer forwarded = scanner.feed(Buffer.buffer(bytes));
        assertThat(forwarded.length()).isLessThanOrEqualTo(bytes.length);
        assertThat(scanner.hasPartialEvent()).isEqualTo(forwarded.length() < bytes.length);
    }
}
