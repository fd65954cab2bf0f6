package io.radishwinch.server.proxy;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events and tracks their identifiers.
 *
 * <p>The bytes of an incomplete event are buffered, so that a stream can resume at another endpoint without a partial
 * event in it.
 */
final class EventScanner {

    /** Maximum size of an event in bytes; a stream with a larger event fails. */
    static final int MAX_EVENT_BYTES = 1 << 20;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte COMMENT = ':';
    private static final int MAX_ID_DIGITS = 18;

    private Buffer pending = Buffer.buffer();
    private int scannedTo;
    private int lineStart;
    private long eventId = RequestHead.NONE;
    private long lastEventId;
    private int eventCount;
    private int duplicateCount;
    private boolean hasContent;
    private boolean isLastEventIdentified = true;
    private boolean isResumed;
    private boolean isPositionLost;

    /**
     * Creates a scanner.
     *
     * @param lastEventId identifier of the last event that the caller has received, or {@link RequestHead#NONE}; events
     *     up to this identifier are dropped
     */
    EventScanner(long lastEventId) {
        this.lastEventId = lastEventId;
    }

    /**
     * Adds bytes of the stream and returns the events that they complete.
     *
     * @return the bytes of the completed events that the caller does not have yet; may be empty
     */
    Buffer feed(Buffer chunk) {
        pending.appendBuffer(chunk);
        Buffer completed = Buffer.buffer();
        int eventStart = 0;
        while (scannedTo < pending.length() && !isPositionLost) {
            if (pending.getByte(scannedTo++) != LINE_FEED) {
                continue;
            }
            int lineEnd = scannedTo - 1;
            if (lineEnd > lineStart && pending.getByte(lineEnd - 1) == CARRIAGE_RETURN) {
                lineEnd--;
            }
            boolean isBlank = lineEnd == lineStart;
            if (isBlank) {
                endEvent(completed, eventStart);
                eventStart = scannedTo;
            } else {
                hasContent |= pending.getByte(lineStart) != COMMENT;
                parseIdLine(lineEnd);
            }
            lineStart = scannedTo;
        }
        if (eventStart > 0) {
            pending = pending.getBuffer(eventStart, pending.length());
            scannedTo -= eventStart;
            lineStart -= eventStart;
        }
        return completed;
    }

    /** Drops the bytes of the incomplete event before the stream starts or resumes at another endpoint. */
    void startResponse() {
        isResumed = eventCount > 0;
        isPositionLost = false;
        pending = Buffer.buffer();
        scannedTo = 0;
        lineStart = 0;
        eventId = RequestHead.NONE;
        hasContent = false;
    }

    /**
     * Returns whether the stream can resume after the events that were returned. The position of an event without
     * identifier is unknown to the endpoint that resumes the stream, which would send it again.
     */
    boolean canResume() {
        return isLastEventIdentified;
    }

    /**
     * Returns whether a resumed response contains an event without identifier, which the caller may already have. This
     * event and all later ones of the response are not returned.
     */
    boolean isPositionLost() {
        return isPositionLost;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return pending.length() > 0;
    }

    /** Returns whether the incomplete event exceeds {@link #MAX_EVENT_BYTES}. */
    boolean isOversized() {
        return pending.length() > MAX_EVENT_BYTES;
    }

    /** Returns the identifier of the last complete event, or {@link RequestHead#NONE}. */
    long lastEventId() {
        return lastEventId;
    }

    /** Returns the number of events returned by {@link #feed}, without comments and blank lines. */
    int eventCount() {
        return eventCount;
    }

    /** Returns the number of events that were dropped because the caller has them. */
    int duplicateCount() {
        return duplicateCount;
    }

    private void endEvent(Buffer completed, int eventStart) {
        boolean isDuplicate = eventId != RequestHead.NONE && eventId <= lastEventId;
        isPositionLost = isResumed && hasContent && eventId == RequestHead.NONE;
        if (isPositionLost) {
            return;
        }
        if (isDuplicate) {
            duplicateCount++;
        } else {
            completed.appendBuffer(pending.getBuffer(eventStart, scannedTo));
            if (hasContent) {
                eventCount++;
                isLastEventIdentified = eventId != RequestHead.NONE;
            }
        }
        lastEventId = Math.max(lastEventId, eventId);
        eventId = RequestHead.NONE;
        hasContent = false;
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
