package io.radishwinch.server.engine;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;

/**
 * Splits a byte stream into lines that end with a line feed, and buffers at most one line of limited length.
 *
 * <p>Empty lines and a carriage return before the line feed are dropped.
 */
public final class LineSplitter {
    private static final int INITIAL_BUFFER_BYTES = 512;

    private final int maxLineBytes;
    private final LineHandler handler;
    private byte[] pending = new byte[0];
    private int pendingLength;

    /** Creates a splitter that rejects lines longer than the given number of bytes. */
    public LineSplitter(int maxLineBytes, LineHandler handler) {
        this.maxLineBytes = maxLineBytes;
        this.handler = handler;
    }

    /**
     * Processes the next bytes and passes each complete line to the handler. Stops if the handler returns false.
     *
     * @throws MalformedLineException if a line is too long or the handler throws it
     */
    public void accept(Buffer chunk) throws MalformedLineException {
        accept(chunk.getBytes());
    }

    /**
     * Processes the next bytes and passes each complete line to the handler. Stops if the handler returns false.
     *
     * @throws MalformedLineException if a line is too long or the handler throws it
     */
    public void accept(byte[] bytes) throws MalformedLineException {
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean isContinued;
            if (pendingLength > 0) {
                append(bytes, start, i);
                int length = pendingLength;
                pendingLength = 0;
                isContinued = emit(pending, 0, length);
            } else {
                isContinued = emit(bytes, start, i);
            }
            if (!isContinued) {
                return;
            }
            start = i + 1;
        }
        append(bytes, start, bytes.length);
    }

    /** Returns the number of buffered bytes of the incomplete line. */
    public int pendingBytes() {
        return pendingLength;
    }

    private boolean emit(byte[] bytes, int start, int end) throws MalformedLineException {
        int trimmed = end > start && bytes[end - 1] == '\r' ? end - 1 : end;
        checkLength(trimmed - start);
        return trimmed == start || handler.handle(bytes, start, trimmed - start);
    }

    private void append(byte[] bytes, int start, int end) throws MalformedLineException {
        int length = end - start;
        if (length == 0) {
            return;
        }
        checkLength(pendingLength + length);
        if (pendingLength + length > pending.length) {
            int newCapacity = Math.max(INITIAL_BUFFER_BYTES, 2 * (pendingLength + length));
            pending = Arrays.copyOf(pending, Math.min(maxLineBytes + 1, newCapacity));
        }
        System.arraycopy(bytes, start, pending, pendingLength, length);
        pendingLength += length;
    }

    private void checkLength(int length) throws MalformedLineException {
        // The additional byte allows for a carriage return after a line of maximum length.
        if (length > maxLineBytes + 1) {
            throw new MalformedLineException("line exceeds " + maxLineBytes + " bytes");
        }
    }

    /** Handles lines. */
    @FunctionalInterface
    public interface LineHandler {
        /**
         * Handles a line. The bytes are valid only during the call.
         *
         * @return whether to continue with the next line
         * @throws MalformedLineException if the line cannot be parsed
         */
        boolean handle(byte[] bytes, int offset, int length) throws MalformedLineException;
    }
}
