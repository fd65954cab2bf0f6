package io.radishwinch.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against stored responses that are replayed although a part of them is missing. */
class StoredResponseTest {

    @Test
    void encodedResponseIsDecoded() {
        byte[] body = {1, 2, 3};
        StoredResponse decoded =
                StoredResponse.decode(StoredResponse.of(201, "text/plain", body).encode());
        assertThat(decoded.status()).isEqualTo(201);
        assertThat(decoded.contentType()).isEqualTo("text/plain");
        assertThat(decoded.body()).isEqualTo(body);
        assertThat(decoded.isBodyStored()).isTrue();
    }

    /** Guards against a caller that gets no response because the recorded one is damaged. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{\"status\":200,\"contentType\":\"\",\"body\":\"AQ",
                "{\"status\":200,\"stored\":true}",
                "{\"status\":200,\"body\":null,\"stored\":true}",
                "{\"status\":200,\"body\":\"A\",\"stored\":true}",
                "{\"status\":\"200\",\"body\":\"AQ==\"}",
            })
    void outcomeOfADamagedRecordIsUnknown(String record) {
        assertThat(StoredResponse.decode(record.getBytes(StandardCharsets.UTF_8))
                        .isOutcomeKnown())
                .isFalse();
    }
}
