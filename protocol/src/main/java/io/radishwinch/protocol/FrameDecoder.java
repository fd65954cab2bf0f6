package io.radishwinch.protocol;

import io.radishwinch.protocol.generated.Frame;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Decoder of one byte stream, fed with chunks of any size.
 *
 * <p>Buffers at most one incomplete frame and grows only as bytes arrive. After an exception the position in the stream
 * is unknown, so every further call fails; the connection must be closed. Not thread-safe.
 */
public final class FrameDecoder {

    private static final int INITIAL_BUFFER_BYTES = 512;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferedBytes;
    private FrameException failure;
    private long skippedFrames;

    /**
     * Takes bytes from the stream.
     *
     * @param chunk array with the bytes
     * @param offset first byte
     * @param length number of bytes
     * @return the frames that are complete now, in order
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
                int wanted = bufferedBytes < FrameCodec.PREFIX_BYTES
                        ? FrameCodec.PREFIX_BYTES - bufferedBytes
                        : FrameCodec.PREFIX_BYTES + frameLength() - bufferedBytes;
                int taken = Math.min(wanted, end - from);
                append(chunk, from, taken);
                from += taken;
            } catch (FrameException e) {
                failure = e;
            }
        }
    }

    /** Returns whether the stream stopped in the middle of a frame. */
    public boolean hasPartialFrame() {
        return bufferedBytes > 0;
    }

    /** Returns the number of frames skipped because only a newer router knows their message type. */
    public long skippedFrames() {
        return skippedFrames;
    }

    /** Returns the size of the buffer, in bytes. */
    int bufferedCapacityBytes() {
        return buffer.length;
    }

    private void decodeBuffered(List<Frame> frames) throws FrameException {
        // Binary fields that Thrift reads are views of the array it reads from, so each frame needs its own.
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
                    "frame length " + length + " is outside 1 to " + FrameCodec.MAX_FRAME_BYTES);
        }
        return length;
    }

    private void append(byte[] chunk, int from, int count) {
        if (bufferedBytes + count > buffer.length) {
            int doubled = Math.min(buffer.length * 2, FrameCodec.PREFIX_BYTES + FrameCodec.MAX_FRAME_BYTES);
            buffer = Arrays.copyOf(buffer, Math.max(bufferedBytes + count, doubled));
        }
        System.arraycopy(chunk, from, buffer, bufferedBytes, count);
        bufferedBytes += count;
    }
}
