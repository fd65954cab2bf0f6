package io.radishwinch.config.build;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a process that does not start, or claims to be another build, because its identity is unreadable. */
class BuildIdentityTest {
    private final List<LogRecord> lines = new ArrayList<>();
    /** Held, because the logging system refers to loggers weakly. */
    private final Logger logger = Logger.getLogger(BuildIdentity.class.getName());

    private final Handler handler = new Handler() {
        @Override
        public void publish(LogRecord record) {
            lines.add(record);
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    @BeforeEach
    void capture() {
        logger.addHandler(handler);
    }

    @AfterEach
    void release() {
        logger.removeHandler(handler);
    }

    private static BuildIdentity read(String content) {
        return BuildIdentity.read(() -> new ByteArrayInputStream(content.getBytes(StandardCharsets.ISO_8859_1)));
    }

    @Test
    void theIdentityOfTheBuildIsRead() {
        assertThat(read("identity=8f12ff2c0ffe-dirty-0123456789ab\n").value())
                .isEqualTo("8f12ff2c0ffe-dirty-0123456789ab");
        assertThat(read("identity=unknown\n")).isEqualTo(BuildIdentity.UNKNOWN);
        assertThat(BuildIdentity.ofProcess().value()).isNotEmpty();
        assertThat(lines).isEmpty();
    }

    @Test
    void anInvalidIdentityIsUnknownAndLoggedOnce() {
        List<String> contents = List.of(
                "", "identity=", "identity=${build.identity}", "identity=a b", "identity=\\u00", "x".repeat(100_000));
        for (String content : contents) {
            lines.clear();
            assertThat(read(content)).as(content).isEqualTo(BuildIdentity.UNKNOWN);
            assertThat(lines).as(content).hasSize(1);
        }
    }

    @Test
    void aMissingOrUnreadableResourceIsUnknownAndLoggedOnce() {
        assertThat(BuildIdentity.read(() -> null)).isEqualTo(BuildIdentity.UNKNOWN);
        assertThat(lines).hasSize(1);
        assertThat(BuildIdentity.read(() -> new InputStream() {
                    @Override
                    public int read() throws IOException {
                        throw new IOException("input/output error");
                    }
                }))
                .isEqualTo(BuildIdentity.UNKNOWN);
        assertThat(lines).hasSize(2);
    }
}
