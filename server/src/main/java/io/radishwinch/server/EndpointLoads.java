package io.radishwinch.server;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Encoding of the work of one router on each endpoint. */
final class EndpointLoads {
    private static final int COUNT_BYTES = 2;
    private static final int KV_BYTES = 4;
    private static final int LENGTH_BYTES = 2;

    /** Unit of KV cache memory in an entry, in bytes; a finer one would not fit into four bytes. */
    private static final long KV_UNIT_BYTES = 1 << 10;

    /**
     * Work of one router on one endpoint.
     *
     * @param running attempts
     * @param kvBytes KV cache memory that they may use, in bytes
     */
    record Load(int running, long kvBytes) {

        static final Load NONE = new Load(0, 0);

        Load plus(Load other) {
            return new Load(running + other.running, kvBytes + other.kvBytes);
        }
    }

    private EndpointLoads() {}

    /** Encodes the busiest endpoints, as many as fit into the given number of bytes. */
    static byte[] encode(Map<String, Load> loads, int maxBytes) {
        List<Map.Entry<String, Load>> busiest = loads.entrySet().stream()
                .sorted(Comparator.comparing((Map.Entry<String, Load> entry) ->
                                -entry.getValue().running())
                        .thenComparing(Map.Entry.comparingByKey()))
                .toList();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            for (Map.Entry<String, Load> entry : busiest) {
                int entryBytes = LENGTH_BYTES + entry.getKey().length() + COUNT_BYTES + KV_BYTES;
                if (out.size() + entryBytes > maxBytes) {
                    break;
                }
                out.writeUTF(entry.getKey());
                out.writeShort(Math.min(entry.getValue().running(), Short.MAX_VALUE));
                out.writeInt((int) Math.min(entry.getValue().kvBytes() / KV_UNIT_BYTES, Integer.MAX_VALUE));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    /** Decodes an entry of another router; a malformed rest is ignored. */
    static Map<String, Load> decode(byte[] value) {
        Map<String, Load> loads = new HashMap<>();
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
            while (in.available() > 0) {
                loads.put(in.readUTF(), new Load(in.readShort(), in.readInt() * KV_UNIT_BYTES));
            }
        } catch (IOException e) {
            return loads;
        }
        return loads;
    }
}
