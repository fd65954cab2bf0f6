package io.radishwinch.soak;

import java.io.IOException;
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

/** A router as a process of its own on loopback, with its settings and log in a directory. */
final class RouterProcess implements AutoCloseable {
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
    private final Process process;
    private int callerPort;
    private int adminPort;
    private int peerPort;

    /**
     * Starts a router.
     *
     * @param id identifier of the router
     * @param settings content of its settings file; its ports are 0
     * @throws IOException if the process cannot be started
     */
    RouterProcess(String id, String settings, Path directory) throws IOException {
        this.id = id;
        this.log = directory.resolve(id + ".log");
        Path settingsFile = directory.resolve(id + ".yaml");
        Files.writeString(settingsFile, settings);
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
                .redirectOutput(log.toFile())
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
            Matcher started = STARTED.matcher(Files.readString(log));
            if (started.find()) {
                callerPort = Integer.parseInt(started.group(1));
                adminPort = Integer.parseInt(started.group(2));
                peerPort = Integer.parseInt(started.group(3));
                return;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        String state = process.isAlive() ? "does not listen" : "ended with " + process.exitValue();
        throw new IOException(id + " " + state + "; see " + log);
    }

    String id() {
        return id;
    }

    int callerPort() {
        return callerPort;
    }

    int adminPort() {
        return adminPort;
    }

    int peerPort() {
        return peerPort;
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

    /** Sends SIGKILL without waiting. */
    void kill() {
        process.destroyForcibly();
    }
}
