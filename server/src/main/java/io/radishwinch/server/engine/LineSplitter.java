package io.radishwinch.server.engine;

import io.vertx.core.buffer.Buffer;
import java.util.Arrays;

/**
 * Splits a byte stream into lines that end with a line feed, holding at most one line of bounded length.
 *
 * <p>A carriage return before the line feed and empty lines are dropped.
 */
public final class LineSplitter {
    private static final int INITIAL_BUFFER_BYTES = 512;

    private final int maxLineBytes;
    private final LineHandler handler;
    private byte[] pending = new byte[0];
    private int pendingLength;

    /** Creates a splitter that refuses lines of more than the given number of bytes. */
    public LineSplitter(int maxLineBytes, LineHandler handler) {
        this.maxLineBytes = maxLineBytes;
        this.handler = handler;
    }

    /**
     * Takes the next bytes and hands out each complete line. Stops early when the handler returns false.
     *
     * @throws MalformedLineException if a line is too long, or from the handler
     */
    public void accept(Buffer chunk) throws MalformedLineException {
        accept(chunk.getBytes());
    }

    /**
     * Takes the next bytes and hands out each complete line. Stops early when the handler returns false.
     *
     * @throws MalformedLineException if a line is too long, or from the handler
     */
    public void accept(byte[] bytes) throws MalformedLineException {
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean goOn;
            if (pendingLength > 0) {
                append(bytes, start, i);
                int length = pendingLength;
                pendingLength = 0;
                goOn = emit(pending, 0, length);
            } else {
                goOn = emit(bytes, start, i);
            }
            if (!goOn) {
                return;
            }
            start = i + 1;
        }
        append(bytes, start, bytes.length);
    }

    /** Returns the bytes held of a line that has not ended yet. */
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
            int wanted = Math.max(INITIAL_BUFFER_BYTES, 2 * (pendingLength + length));
            pending = Arrays.copyOf(pending, Math.min(maxLineBytes + 1, wanted));
        }
        System.arraycopy(bytes, start, pending, pendingLength, length);
        pendingLength += length;
    }

    private void checkLength(int length) throws MalformedLineException {
        // One byte above the bound allows for the carriage return of a line of full length.
        if (length > maxLineBytes + 1) {
            throw new MalformedLineException("line of more than " + maxLineBytes + " bytes");
        }
    }

    /** Receiver of lines. */
    @FunctionalInterface
    public interface LineHandler {
        /**
         * Takes a line; the bytes are valid during the call only.
         *
         * @return whether further lines are wanted
         * @throws MalformedLineException if the line cannot be parsed
         */
        boolean handle(byte[] bytes, int offset, int length) throws MalformedLineException;
    }
}
