package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class EndpointLoadsTest {
    private static final int MANY_BYTES = 8_192;

    @Test
    void theWorkOnFortyEnginesTakesLessThanFourHundredBytes() {
        Map<String, EndpointLoads.Load> loads = new HashMap<>();
        for (int i = 0; i < 40; i++) {
            loads.put("i-0123456789@178007519200" + i, new EndpointLoads.Load(i + 1, 3_000_000_000L * i));
        }
        byte[] bytes = EndpointLoads.encode(loads, MANY_BYTES);
        assertThat(bytes.length).isLessThan(400);
        Map<Integer, EndpointLoads.Load> decoded = EndpointLoads.decode(bytes);
        loads.forEach((id, load) -> {
            EndpointLoads.Load read = decoded.get(EndpointLoads.hash(id));
            assertThat(read.running()).isEqualTo(load.running());
            assertThat(Math.abs(read.kvBytes() - load.kvBytes())).isLessThanOrEqualTo(1 << 22);
        });
    }

    @Test
    void theBusiestEndpointsAreKeptIfNotAllFit() {
        Map<String, EndpointLoads.Load> loads =
                Map.of("idle", new EndpointLoads.Load(1, 0), "busy", new EndpointLoads.Load(9, 0));
        assertThat(EndpointLoads.decode(EndpointLoads.encode(loads, 15))).containsOnlyKeys(EndpointLoads.hash("busy"));
    }

    @Test
    void aTornRestIsIgnored() {
        byte[] torn = new byte[13];
        assertThat(EndpointLoads.decode(torn)).hasSize(1);
    }
}
