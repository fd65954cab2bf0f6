package io.radishwinch.protocol;

import io.radishwinch.protocol.generated.Frame;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Decodes the frames of one byte stream, which arrives in chunks of any size.
 *
 * <p>Buffers at most one incomplete frame, and the buffer grows only as bytes arrive. After an exception the position
 * in the stream is unknown: every further call throws the same exception, and the connection must be closed. Not
 * thread-safe.
 */
public final class FrameDecoder {

    private static final int INITIAL_BUFFER_BYTES = 512;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferedBytes;
    private FrameException failure;
    private long skippedFrames;

    /**
     * Reads the next bytes of the stream.
     *
     * @param chunk array that contains the bytes
     * @param offset offset of the first byte
     * @param length number of bytes
     * @return the frames that these bytes complete, in order
     * @throws FrameException if the stream is invalid
     */
    public List<Frame> feed(byte[] chunk, int offset, int length) throws FrameException {
        java.util.Objects.checkFromIndexSize(offset, length, chunk.length);
        List<Frame> frames = new ArrayList<>(1);
        int from = offset;
        int end = offset + length;
        while (true) {
            if (failure != null) {
                throw failure;
            }
            try {
                if (bufferedBytes >= FrameCodec.PREFIX_BYTES
                        && bufferedBytes == FrameCodec.PREFIX_BYTES + frameLength()) {
                    decodeBuffered(frames);
                }
                if (from == end) {
                    return frames;
                }
                int missing = bufferedBytes < FrameCodec.PREFIX_BYTES
                        ? FrameCodec.PREFIX_BYTES - bufferedBytes
                        : FrameCodec.PREFIX_BYTES + frameLength() - bufferedBytes;
                int count = Math.min(missing, end - from);
                append(chunk, from, count);
                from += count;
            } catch (FrameException e) {
                failure = e;
            }
        }
    }

    /** Returns whether the buffer contains an incomplete frame. */
    public boolean hasPartialFrame() {
        return bufferedBytes > 0;
    }

    /** Returns the number of frames that were skipped because their message type is unknown, as from a newer router. */
    public long skippedFrames() {
        return skippedFrames;
    }

    /** Returns the allocated size of the buffer, in bytes. */
    int bufferedCapacityBytes() {
        return buffer.length;
    }

    private void decodeBuffered(List<Frame> frames) throws FrameException {
        // Thrift returns binary fields as views of the array that it reads, so each frame needs an array of its own.
        byte[] content = Arrays.copyOfRange(buffer, FrameCodec.PREFIX_BYTES, bufferedBytes);
        Frame frame = FrameCodec.decode(content, 0, content.length);
        bufferedBytes = 0;
        if (frame == null) {
            skippedFrames++;
        } else {
            frames.add(frame);
        }
        if (buffer.length > INITIAL_BUFFER_BYTES) {
            buffer = new byte[INITIAL_BUFFER_BYTES];
        }
    }

    private int frameLength() throws FrameException {
        int length = (buffer[0] & 0xff) << 24 | (buffer[1] & 0xff) << 16 | (buffer[2] & 0xff) << 8 | (buffer[3] & 0xff);
        if (length <= 0 || length > FrameCodec.MAX_FRAME_BYTES) {
            throw new FrameException(
                    FrameException.Kind.LENGTH,
                    "frame length " + length + " is outside the range 1 to " + FrameCodec.MAX_FRAME_BYTES);
        }
        return length;
    }

    private void append(byte[] chunk, int from, int count) {
        if (bufferedBytes + count > buffer.length) {
            int doubledCapacity = Math.min(buffer.length * 2, FrameCodec.PREFIX_BYTES + FrameCodec.MAX_FRAME_BYTES);
            buffer = Arrays.copyOf(buffer, Math.max(bufferedBytes + count, doubledCapacity));
        }
        System.arraycopy(chunk, from, buffer, bufferedBytes, count);
        bufferedBytes += count;
    }
}
