package io.radishwinch.protocol;

import io.radishwinch.protocol.generated.Frame;
import java.nio.ByteBuffer;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Encodes and decodes frames: a 4-byte big-endian length, then the Thrift compact protocol.
 *
 * <p>Decoding never allocates more than the frame claims and at most {@link #MAX_FRAME_BYTES}.
 */
public final class FrameCodec {

    /** Version that this router speaks. */
    public static final int PROTOCOL_VERSION = 1;

    /** Largest content of a frame, without its length, in bytes. */
    public static final int MAX_FRAME_BYTES = 1024 * 1024;

    /** Size of the length prefix, in bytes. */
    public static final int PREFIX_BYTES = 4;

    /** Largest list in a frame, in elements; the largest real one is a listing of 4,096 versions. */
    public static final int MAX_CONTAINER_ELEMENTS = 16_384;

    /** A string or value takes at most the whole frame. */
    private static final int MAX_STRING_BYTES = MAX_FRAME_BYTES;

    /** Messages nest four levels deep: frame, message, list, element. */
    private static final int MAX_DEPTH = 8;

    private static final int INITIAL_BUFFER_BYTES = 256;

    private FrameCodec() {}

    /**
     * Encodes a frame with its length prefix.
     *
     * @throws FrameException if a required field is missing or the frame is larger than the limit
     */
    public static byte[] encode(Frame frame) throws FrameException {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            buffer.write(new byte[PREFIX_BYTES]);
            frame.write(new TCompactProtocol(buffer));
            int length = buffer.length() - PREFIX_BYTES;
            if (length > MAX_FRAME_BYTES) {
                throw new FrameException(
                        FrameException.Kind.LENGTH,
                        "frame of " + length + " bytes is above the limit of " + MAX_FRAME_BYTES);
            }
            byte[] bytes = java.util.Arrays.copyOf(buffer.getArray(), buffer.length());
            ByteBuffer.wrap(bytes).putInt(length);
            return bytes;
        } catch (TException e) {
            throw new FrameException(FrameException.Kind.MALFORMED, "frame cannot be encoded: " + e.getMessage(), e);
        }
    }

    /**
     * Decodes the content of one frame.
     *
     * @param bytes array that contains the frame, without its length prefix
     * @param offset start of the frame
     * @param length length of the frame, in bytes
     * @return the frame, or null if its message is of a type that only a newer router knows
     * @throws FrameException if the content is invalid
     */
    static Frame decode(byte[] bytes, int offset, int length) throws FrameException {
        Frame frame = new Frame();
        TMemoryInputTransport transport;
        try {
            transport = new TMemoryInputTransport(
                    new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, MAX_DEPTH), bytes, offset, length);
            TProtocol protocol = new TCompactProtocol(transport, MAX_STRING_BYTES, MAX_CONTAINER_ELEMENTS);
            frame.read(protocol);
        } catch (TTransportException e) {
            throw new FrameException(FrameException.Kind.MALFORMED, "frame ends in the middle of a field", e);
        } catch (TException | RuntimeException e) {
            throw new FrameException(FrameException.Kind.MALFORMED, "frame is malformed: " + e.getMessage(), e);
        }
        if (frame.getProtocolVersion() != PROTOCOL_VERSION) {
            throw new FrameException(
                    FrameException.Kind.VERSION,
                    "protocol version " + frame.getProtocolVersion() + " is not supported, expected "
                            + PROTOCOL_VERSION);
        }
        if (transport.getBytesRemainingInBuffer() != 0) {
            throw new FrameException(
                    FrameException.Kind.MALFORMED,
                    transport.getBytesRemainingInBuffer() + " bytes follow the end of the frame");
        }
        return frame.getMessage().getSetField() == null ? null : frame;
    }
}
