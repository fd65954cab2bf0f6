package io.radishwinch.cli.log;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/** Reads the log files of several routers line by line. */
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
        unstructuredLineCount = 0;
        for (Path file : files) {
            String name = String.valueOf(file.getFileName());
            // InputStreamReader replaces malformed UTF-8, so one malformed character affects only its own line.
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
                for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                    LogLine.parse(name, text).ifPresentOrElse(receiver, () -> unstructuredLineCount++);
                }
            }
        }
    }

    /** Returns the number of unstructured lines skipped by the last {@link #read}. */
    public long unstructuredLineCount() {
        return unstructuredLineCount;
    }
}
