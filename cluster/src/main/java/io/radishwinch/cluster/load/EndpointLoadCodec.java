package io.radishwinch.cluster.load;

import io.radishwinch.cluster.membership.RendezvousHash;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes the load that one router puts on each endpoint.
 *
 * <p>Entries contain a hash of the endpoint identifier instead of the identifier, because all routers know the
 * identifiers and these entries make up most of the traffic between routers.
 */
public final class EndpointLoadCodec {

    /** Size of an entry: hash, attempts and memory. */
    private static final int ENTRY_BYTES = Integer.BYTES + 2 * Short.BYTES;

    private static final int MAX_SHORT = (1 << Short.SIZE) - 1;

    /** Unit of KV cache memory in an entry, in bytes; a two-byte count covers 256 GiB. */
    private static final long KV_UNIT_BYTES = 1 << 22;

    private EndpointLoadCodec() {}

    /** Returns the hash that identifies an endpoint in an entry. */
    public static int hash(String endpointId) {
        return (int) RendezvousHash.hash(endpointId);
    }

    /**
     * Encodes the loads by endpoint hash: as many entries as fit into the given number of bytes, busiest endpoints
     * first.
     */
    static byte[] encode(Map<Integer, EndpointLoad> loads, int maxBytes) {
        List<Map.Entry<Integer, EndpointLoad>> busiest = loads.entrySet().stream()
                .sorted(Comparator.comparing((Map.Entry<Integer, EndpointLoad> entry) ->
                                -entry.getValue().running())
                        .thenComparing(Map.Entry.comparingByKey()))
                .limit(maxBytes / ENTRY_BYTES)
                .toList();
        ByteBuffer bytes = ByteBuffer.allocate(busiest.size() * ENTRY_BYTES);
        for (Map.Entry<Integer, EndpointLoad> entry : busiest) {
            EndpointLoad load = entry.getValue();
            long kvUnits = (load.kvBytes() + KV_UNIT_BYTES / 2) / KV_UNIT_BYTES;
            bytes.putInt(entry.getKey())
                    .putShort((short) Math.min(load.running(), MAX_SHORT))
                    .putShort((short) Math.min(kvUnits, MAX_SHORT));
        }
        return bytes.array();
    }

    /** Returns the loads by endpoint hash; an incomplete entry at the end is ignored. */
    static Map<Integer, EndpointLoad> decode(byte[] value) {
        Map<Integer, EndpointLoad> loads = new HashMap<>();
        ByteBuffer bytes = ByteBuffer.wrap(value);
        while (bytes.remaining() >= ENTRY_BYTES) {
            int hash = bytes.getInt();
            int running = Short.toUnsignedInt(bytes.getShort());
            loads.put(hash, new EndpointLoad(running, Short.toUnsignedInt(bytes.getShort()) * KV_UNIT_BYTES));
        }
        return loads;
    }
}
