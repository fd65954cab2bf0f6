package io.radishwinch.cluster.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EndpointLoadCodecTest {
    private static final int MANY_BYTES = 8_192;

    @Test
    void loadsOfFortyEnginesTakeLessThan400Bytes() {
        Map<Integer, EndpointLoad> loads = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            loads.put(
                    EndpointLoadCodec.hash("i-0123456789@178007519200" + i),
                    new EndpointLoad(i + 1, 3_000_000_000L * i));
        }
        byte[] bytes = EndpointLoadCodec.encode(loads, MANY_BYTES);
        assertThat(bytes.length).isLessThan(400);
        Map<Integer, EndpointLoad> decoded = EndpointLoadCodec.decode(bytes);
        loads.forEach((id, load) -> {
            EndpointLoad read = decoded.get(id);
            assertThat(read.running()).isEqualTo(load.running());
            assertThat(Math.abs(read.kvBytes() - load.kvBytes())).isLessThanOrEqualTo(1 << 22);
        });
    }

    @Test
    void busiestEndpointsAreKeptIfNotAllFit() {
        Map<Integer, EndpointLoad> loads = Map.of(1, new EndpointLoad(1, 0), 2, new EndpointLoad(9, 0));
        assertThat(EndpointLoadCodec.decode(EndpointLoadCodec.encode(loads, 15)))
                .containsOnlyKeys(2);
    }

    @Test
    void truncatedTrailingEntryIsIgnored() {
        byte[] truncated = new byte[13];
        assertThat(EndpointLoadCodec.decode(truncated)).hasSize(1);
    }
}
