package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EndpointLoadCodecTest {
    private static final int MANY_BYTES = 8_192;

    @Test
    void loadsOfFortyEnginesTakeLessThan400Bytes() {
        Map<String, EndpointLoadCodec.Load> loads = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            loads.put("i-0123456789@178007519200" + i, new EndpointLoadCodec.Load(i + 1, 3_000_000_000L * i));
        }
        byte[] bytes = EndpointLoadCodec.encode(loads, MANY_BYTES);
        assertThat(bytes.length).isLessThan(400);
        Map<Integer, EndpointLoadCodec.Load> decoded = EndpointLoadCodec.decode(bytes);
        loads.forEach((id, load) -> {
            EndpointLoadCodec.Load read = decoded.get(EndpointLoadCodec.hash(id));
            assertThat(read.running()).isEqualTo(load.running());
            assertThat(Math.abs(read.kvBytes() - load.kvBytes())).isLessThanOrEqualTo(1 << 22);
        });
    }

    @Test
    void busiestEndpointsAreKeptIfNotAllFit() {
        Map<String, EndpointLoadCodec.Load> loads =
                Map.of("idle", new EndpointLoadCodec.Load(1, 0), "busy", new EndpointLoadCodec.Load(9, 0));
        assertThat(EndpointLoadCodec.decode(EndpointLoadCodec.encode(loads, 15)))
                .containsOnlyKeys(EndpointLoadCodec.hash("busy"));
    }

    @Test
    void truncatedTrailingEntryIsIgnored() {
        byte[] truncated = new byte[13];
        assertThat(EndpointLoadCodec.decode(truncated)).hasSize(1);
    }
}
