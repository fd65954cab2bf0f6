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

/** Encoding of the attempts that one router runs on each endpoint. */
final class EndpointLoads {
    private static final int COUNT_BYTES = 2;

    private EndpointLoads() {}

    /** Encodes the busiest endpoints, as many as fit into the given number of bytes. */
    static byte[] encode(Map<String, Integer> running, int maxBytes) {
        List<Map.Entry<String, Integer>> busiest = running.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .toList();
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            for (Map.Entry<String, Integer> entry : busiest) {
                int entryBytes = COUNT_BYTES + entry.getKey().length() + COUNT_BYTES;
                if (out.size() + entryBytes > maxBytes) {
                    break;
                }
                out.writeUTF(entry.getKey());
                out.writeShort(Math.min(entry.getValue(), Short.MAX_VALUE));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    /** Decodes an entry of another router; a malformed rest is ignored. */
    static Map<String, Integer> decode(byte[] value) {
        Map<String, Integer> running = new HashMap<>();
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
            while (in.available() > 0) {
                running.put(in.readUTF(), (int) in.readShort());
            }
        } catch (IOException e) {
            return running;
        }
        return running;
    }
}
