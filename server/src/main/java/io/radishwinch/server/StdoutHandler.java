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
 * Writes log lines to standard output without ever blocking the thread that logs.
 *
 * <p>Lines wait in a bounded queue for a thread of their own, which writes them in batches. Lines that find the queue
 * full are dropped and counted, and the count is written as soon as there is room again.
 */
final class StdoutHandler extends Handler {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long BATCH_INTERVAL_MS = 500;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedLines = new AtomicLong();
    private final Formatter formatter;
    private final OutputStream out = new FileOutputStream(FileDescriptor.out);
    private final Thread writer = new Thread(this::writeLoop, "log-writer");

    StdoutHandler(Formatter lines) {
        this.formatter = lines;
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
        long lost = droppedLines.getAndSet(0);
        if (lost > 0) {
            LogRecord note = new LogRecord(Level.WARNING, "{0}");
            note.setParameters(new Object[] {LogFields.of("log-lines-dropped").with("lines", lost)});
            batch.append(formatter.format(note));
        }
        if (batch.length() == 0) {
            return;
        }
        try {
            out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            // Standard output is closed, so that nobody can be told.
            droppedLines.addAndGet(1);
        }
    }
}
