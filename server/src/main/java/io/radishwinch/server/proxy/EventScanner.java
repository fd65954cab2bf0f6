package io.radishwinch.server.proxy;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into whole events and follows their identifiers.
 *
 * <p>Bytes of an event that has not ended are kept back, so that a stream can go on at another endpoint without a torn
 * event in it.
 */
final class EventScanner {

    /** Largest event; a stream with a larger one fails. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final int MAX_ID_DIGITS = 18;

    private Buffer pending = Buffer.buffer();
    private int scannedTo;
    private int lineStart;
    private long eventId = RequestHead.NONE;
    private long lastEventId;
    private int eventCount;

    /**
     * Creates a scanner.
     *
     * @param lastEventId identifier of the last event that the caller has, or {@link RequestHead#NONE}; events up to it
     *     are dropped
     */
    EventScanner(long lastEventId) {
        this.lastEventId = lastEventId;
    }

    /**
     * Takes bytes.
     *
     * @return the bytes of the events that ended with them and that the caller does not have yet; may be empty
     */
    Buffer feed(Buffer chunk) {
        pending.appendBuffer(chunk);
        Buffer whole = Buffer.buffer();
        int eventStart = 0;
        while (scannedTo < pending.length()) {
            if (pending.getByte(scannedTo++) != LINE_FEED) {
                continue;
            }
            int lineEnd = scannedTo - 1;
            if (lineEnd > lineStart && pending.getByte(lineEnd - 1) == CARRIAGE_RETURN) {
                lineEnd--;
            }
            boolean isBlank = lineEnd == lineStart;
            if (isBlank) {
                endEvent(whole, eventStart);
                eventStart = scannedTo;
            } else {
                parseIdLine(lineEnd);
            }
            lineStart = scannedTo;
        }
        if (eventStart > 0) {
            pending = pending.getBuffer(eventStart, pending.length());
            scannedTo -= eventStart;
            lineStart -= eventStart;
        }
        return whole;
    }

    /** Drops the bytes of an event that has not ended, before the stream goes on at another endpoint. */
    void dropPartialEvent() {
        pending = Buffer.buffer();
        scannedTo = 0;
        lineStart = 0;
        eventId = RequestHead.NONE;
    }

    /** Returns whether bytes of an event that has not ended are kept back. */
    boolean hasPartialEvent() {
        return pending.length() > 0;
    }

    /** Returns whether the event that has not ended is larger than allowed. */
    boolean isOversized() {
        return pending.length() > MAX_EVENT_BYTES;
    }

    /** Returns the identifier of the last whole event, or {@link RequestHead#NONE}. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns the number of events passed on. */
    int eventCount() {
        return eventCount;
    }

    private void endEvent(Buffer whole, int eventStart) {
        boolean isKnown = eventId != RequestHead.NONE && eventId <= lastEventId;
        if (!isKnown) {
            whole.appendBuffer(pending.getBuffer(eventStart, scannedTo));
            eventCount++;
        }
        lastEventId = Math.max(lastEventId, eventId);
        eventId = RequestHead.NONE;
    }

    private void parseIdLine(int lineEnd) {
        if (lineEnd - lineStart <= ID_FIELD.length) {
            return;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (pending.getByte(lineStart + i) != ID_FIELD[i]) {
                return;
            }
        }
        String text = pending.getString(lineStart + ID_FIELD.length, lineEnd).trim();
        boolean isNumber = !text.isEmpty()
                && text.length() <= MAX_ID_DIGITS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
        eventId = isNumber ? Long.parseLong(text) : RequestHead.NONE;
    }
}
