package io.radishwinch.server;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log lines to standard output without blocking the logging thread.
 *
 * <p>A background thread takes the lines from a bounded queue and writes them in batches. If the queue is full, lines
 * are dropped and counted; the count is logged with the next batch.
 */
final class StdoutHandler extends Handler {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long BATCH_INTERVAL_MS = 500;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedLines = new AtomicLong();
    private final Formatter formatter;
    private final OutputStream out = new FileOutputStream(FileDescriptor.out);
    private final Thread writer = new Thread(this::writeLoop, "log-writer");

    StdoutHandler(Formatter formatter) {
        this.formatter = formatter;
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !queue.offer(record)) {
            droppedLines.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        writeQueued();
    }

    @Override
    public void close() {
        flush();
    }

    private void writeLoop() {
        while (true) {
            try {
                Thread.sleep(BATCH_INTERVAL_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            writeQueued();
        }
    }

    private synchronized void writeQueued() {
        StringBuilder batch = new StringBuilder();
        for (LogRecord record = queue.poll(); record != null; record = queue.poll()) {
            batch.append(formatter.format(record));
        }
        long droppedCount = droppedLines.getAndSet(0);
        if (droppedCount > 0) {
            LogRecord droppedRecord = new LogRecord(Level.WARNING, "{0}");
            droppedRecord.setParameters(
                    new Object[] {LogFields.of("log-lines-dropped").with("lines", droppedCount)});
            batch.append(formatter.format(droppedRecord));
        }
        if (batch.length() == 0) {
            return;
        }
        try {
            out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // Standard output is closed, so the error cannot be logged.
            droppedLines.addAndGet(1);
        }
    }
}
