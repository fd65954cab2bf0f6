package io.radishwinch.cli.log;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Reads the log files of several routers, or captured output with a time and process prefix, line by line. */
public final class LogFiles {

    private final List<Path> files;
    private long unstructuredLineCount;

    /** Creates a reader; files are opened on {@link #read}. */
    public LogFiles(List<Path> files) {
        this.files = List.copyOf(files);
    }

    /**
     * Passes all structured lines to the receiver, file by file, and counts the others.
     *
     * @throws IOException if a file cannot be read
     */
    public void read(Consumer<LogLine> receiver) throws IOException {
        read(receiver, (source, text) -> {});
    }

    /**
     * Passes all structured lines to one receiver and the others, with their source, to another one.
     *
     * @throws IOException if a file cannot be read
     */
    void read(Consumer<LogLine> receiver, BiConsumer<String, String> otherReceiver) throws IOException {
        unstructuredLineCount = 0;
        for (Path file : files) {
            String name = String.valueOf(file.getFileName());
            // InputStreamReader replaces malformed UTF-8, so one malformed character affects only its own line.
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
                CapturedOutput output = new CapturedOutput(
                        name, (source, line) -> LogLine.parse(source, line).ifPresentOrElse(receiver, () -> {
                            unstructuredLineCount++;
                            otherReceiver.accept(source, line);
                        }));
                for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                    output.read(text);
                }
                output.end();
            }
        }
    }

    /** Returns the number of unstructured lines skipped by the last {@link #read}. */
    public long unstructuredLineCount() {
        return unstructuredLineCount;
    }
}
