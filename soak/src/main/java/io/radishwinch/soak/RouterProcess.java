package io.radishwinch.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A router as a process of its own on loopback, which can be killed and started again at its addresses. */
final class RouterProcess implements AutoCloseable {
    /** Address of all routers. Outgoing connections have another one, so that they take no port of a killed router. */
    static final String HOST = "127.0.0.2";

    private static final String MAIN_CLASS = "io.radishwinch.server.Main";
    private static final Pattern STARTED =
            Pattern.compile("callers on port (\\d+), operators on (\\d+), routers on (\\d+)");
    private static final Pattern TIME = Pattern.compile("\"time\":\"([^\"]+)\"");
    private static final Pattern ERROR =
            Pattern.compile("\"level\":\"SEVERE\"|^SEVERE: |Unhandled exception|internal error, ");
    private static final int START_TIMEOUT_MS = 60_000;
    private static final int POLL_INTERVAL_MS = 50;
    private static final int STOP_TIMEOUT_S = 5;

    private final String id;
    private final Path log;
    private final Path settingsFile;
    private volatile Ports ports = new Ports(0, 0, 0);
    private volatile Process process;
    private long startOffsetBytes;
    private boolean isClosed;

    /**
     * Ports of a router.
     *
     * @param caller port of callers, or 0 for a free one, as the others
     * @param admin port of operators
     * @param peer port of other routers
     */
    record Ports(int caller, int admin, int peer) {}

    /** Creates a router that {@link #start} starts. */
    RouterProcess(String id, Path directory) {
        this.id = id;
        this.log = directory.resolve(id + ".log");
        this.settingsFile = directory.resolve(id + ".yaml");
    }

    /**
     * Starts the process; its log continues that of the process before it.
     *
     * @param settings content of the settings file
     * @throws IOException if the process cannot be started, or the router was closed
     */
    synchronized void start(String settings) throws IOException {
        if (isClosed) {
            throw new IOException(id + " is closed");
        }
        Files.writeString(settingsFile, settings);
        startOffsetBytes = Files.exists(log) ? Files.size(log) : 0;
        process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx160m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty("java.class.path"),
                        MAIN_CLASS,
                        "--settings",
                        settingsFile.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
    }

    /**
     * Waits until the router listens.
     *
     * @throws IOException if it ends before or does not listen within 60 s
     */
    void awaitStart() throws IOException, InterruptedException {
        long deadlineMs = System.currentTimeMillis() + START_TIMEOUT_MS;
        while (System.currentTimeMillis() < deadlineMs && process.isAlive()) {
            Matcher started = STARTED.matcher(startedLog());
            if (started.find()) {
                ports = new Ports(
                        Integer.parseInt(started.group(1)),
                        Integer.parseInt(started.group(2)),
                        Integer.parseInt(started.group(3)));
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        String state = process.isAlive() ? "does not listen" : "ended with " + process.exitValue();
        throw new IOException(id + " " + state + "; see " + log);
    }

    /** Returns the part of the log that the last process has written. */
    private String startedLog() throws IOException {
        byte[] all = Files.readAllBytes(log);
        int offset = (int) Math.min(all.length, startOffsetBytes);
        return new String(all, offset, all.length - offset, StandardCharsets.UTF_8);
    }

    String id() {
        return id;
    }

    /** Returns the ports of the last process that listened, or zeros before the first one. */
    Ports ports() {
        return ports;
    }

    String callerAddress() {
        return "http://" + HOST + ":" + ports.caller();
    }

    /** Returns the lines of the log that name a request; lines without a time have the given one. */
    List<Timeline.Entry> linesOf(String requestId, long otherwiseAtMs) throws IOException {
        List<Timeline.Entry> entries = new ArrayList<>();
        try (Stream<String> lines = Files.lines(log)) {
            lines.filter(line -> line.contains(requestId))
                    .forEach(line -> entries.add(new Timeline.Entry(timeMs(line, otherwiseAtMs), id, line)));
        }
        return entries;
    }

    /** Returns the lines of the log that report an error which only a fault of the router explains. */
    List<String> errorLines() throws IOException {
        try (Stream<String> lines = Files.lines(log)) {
            return lines.filter(line -> ERROR.matcher(line).find()).toList();
        }
    }

    private static long timeMs(String line, long otherwiseMs) {
        Matcher time = TIME.matcher(line);
        try {
            return time.find() ? Instant.parse(time.group(1)).toEpochMilli() : otherwiseMs;
        } catch (DateTimeParseException e) {
            // The line is shown as it is.
            return otherwiseMs;
        }
    }

    /** Sends SIGTERM, and SIGKILL if the process has not ended 5 s later. */
    @Override
    public void close() {
        if (!markClosed()) {
            return;
        }
        process.destroy();
        try {
            if (process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
                return;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        process.destroyForcibly();
    }

    /** Forbids further starts, and returns whether there is a process to end. */
    private synchronized boolean markClosed() {
        isClosed = true;
        return process != null;
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends SIGKILL without waiting, and forbids further starts. */
    void abandon() {
        if (markClosed()) {
            process.destroyForcibly();
        }
    }
}
