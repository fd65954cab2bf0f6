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
 * Encodes and decodes frames.
 *
 * <p>A frame is a 4-byte big-endian length followed by the content in the Thrift compact protocol. Decoding allocates
 * at most the length of the frame, which is limited to {@link #MAX_FRAME_BYTES}.
 */
public final class FrameCodec {

    /** Protocol version of this router. */
    public static final int PROTOCOL_VERSION = 1;

    /**
     * Maximum size of the content of a frame, without its length prefix, in bytes. A frame holds the largest
     * configuration object, 2 MiB, and what surrounds it.
     */
    public static final int MAX_FRAME_BYTES = (2048 + 64) * 1024;

    /** Size of the length prefix, in bytes. */
    public static final int PREFIX_BYTES = 4;

    /** Maximum number of elements of a list; the largest list that routers send has 4,096 entry versions. */
    public static final int MAX_CONTAINER_ELEMENTS = 16_384;

    /** Maximum size of a string or binary value; only the size of the frame limits it. */
    private static final int MAX_STRING_BYTES = MAX_FRAME_BYTES;

    /** Maximum nesting depth; messages use four levels: frame, message, list and element. */
    private static final int MAX_DEPTH = 8;

    private static final int INITIAL_BUFFER_BYTES = 256;

    private FrameCodec() {}

    /**
     * Encodes a frame with its length prefix.
     *
     * @throws FrameException if a required field is missing or the content exceeds {@link #MAX_FRAME_BYTES}
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
                        "frame of " + length + " bytes exceeds the limit of " + MAX_FRAME_BYTES);
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
     * @param bytes array that contains the content
     * @param offset start of the content in the array
     * @param length length of the content, in bytes
     * @return the frame, or null if the type of its message is unknown, as from a newer router
     * @throws FrameException if the content is malformed or of another protocol version
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
            throw new FrameException(FrameException.Kind.MALFORMED, "frame is truncated within a field", e);
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
                    transport.getBytesRemainingInBuffer() + " unexpected bytes after the end of the frame");
        }
        return frame.getMessage().getSetField() == null ? null : frame;
    }
}
