package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.server.logguard.ExpectsInternalErrors;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against code that is not run because the log line before it could not be written. */
class StructuredLogTest {
    private final Logger logger = Logger.getLogger("radishwinch");
    private final FailingHandler handler = new FailingHandler();

    /** Handler that fails for each structured line. */
    private static final class FailingHandler extends Handler {
        private int failures;

        @Override
        public void publish(LogRecord record) {
            if (record.getParameters() != null) {
                failures++;
                throw new IllegalStateException("line cannot be written");
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    @BeforeEach
    void addHandler() {
        logger.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        logger.removeHandler(handler);
    }

    @Test
    @ExpectsInternalErrors
    void aLineThatCannotBeWrittenDoesNotAffectWhatItReports() {
        StructuredLog log = new StructuredLog(() -> 0);
        log.write(LogFields.of("state-changed"));
        log.limit("suppressed").write(() -> LogFields.of("request-arrived"));
        assertThat(handler.failures).isEqualTo(2);
    }
}
