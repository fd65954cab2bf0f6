package io.radishwinch.server.logguard;

import io.radishwinch.server.InternalErrors;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Fails a test during which an exception left a handler or was caught where only a fault of the program explains it.
 * Registered for all tests of the modules that have this class on their class path.
 *
 * <p>An exception that is thrown after the end of a test, by threads that the test has not awaited, fails the next one.
 */
public final class InternalErrorGuard implements BeforeAllCallback, AfterEachCallback, AfterAllCallback {
    /** Held, because the logging system refers to loggers weakly. */
    private static final Logger ROOT = Logger.getLogger("");

    private static final Recorder RECORDER = new Recorder();

    @Override
    public void beforeAll(ExtensionContext context) {
        // A test may have reset the logging system.
        ROOT.removeHandler(RECORDER);
        ROOT.addHandler(RECORDER);
    }

    @Override
    public void afterEach(ExtensionContext context) {
        List<LogRecord> records = RECORDER.drain();
        if (!context.getRequiredTestMethod().isAnnotationPresent(ExpectsInternalErrors.class)) {
            requireNone(records);
        } else if (records.isEmpty()) {
            throw new AssertionError("expected a log record of an internal error, found none");
        }
    }

    @Override
    public void afterAll(ExtensionContext context) {
        requireNone(RECORDER.drain());
    }

    private static void requireNone(List<LogRecord> records) {
        if (records.isEmpty()) {
            return;
        }
        AssertionError error = new AssertionError("expected no log record of an internal error, found "
                + records.stream()
                        .map(record -> record.getLoggerName() + ": " + record.getMessage())
                        .collect(Collectors.joining("; ")));
        records.stream()
                .filter(record -> record.getThrown() != null)
                .forEach(record -> error.addSuppressed(record.getThrown()));
        throw error;
    }

    /** Returns whether a record reports an exception that left a handler, or that only a fault explains. */
    static boolean isInternalError(LogRecord record) {
        String message = String.valueOf(record.getMessage());
        return record.getLevel().intValue() >= Level.SEVERE.intValue()
                && (message.startsWith("Unhandled exception")
                        || InternalErrors.class.getName().equals(record.getLoggerName())
                        || message.contains("a line of the log cannot be written")
                        || message.contains("cannot be handled"));
    }

    /** Keeps the records of internal errors. */
    private static final class Recorder extends Handler {
        private final Queue<LogRecord> records = new ConcurrentLinkedQueue<>();

        List<LogRecord> drain() {
            List<LogRecord> drained = new ArrayList<>();
            for (LogRecord record = records.poll(); record != null; record = records.poll()) {
                drained.add(record);
            }
            return drained;
        }

        @Override
        public void publish(LogRecord record) {
            if (isInternalError(record)) {
                records.add(record);
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }
}
