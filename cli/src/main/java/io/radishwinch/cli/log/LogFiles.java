package io.radishwinch.cli.log;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/** Reads the logs of several routers, line by line. */
public final class LogFiles {

    private final List<Path> files;
    private long unstructuredLineCount;

    /** Creates a reader of files that are opened when they are read. */
    public LogFiles(List<Path> files) {
        this.files = List.copyOf(files);
    }

    /**
     * Passes all structured lines on, file by file; others are counted.
     *
     * @throws IOException if a file cannot be read
     */
    public void read(Consumer<LogLine> receiver) throws IOException {
        unstructuredLineCount = 0;
        for (Path file : files) {
            String name = String.valueOf(file.getFileName());
            // A broken character spoils its line only.
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
                for (String text = lines.readLine(); text != null; text = lines.readLine()) {
                    LogLine.parse(name, text).ifPresentOrElse(receiver, () -> unstructuredLineCount++);
                }
            }
        }
    }

    /** Returns the lines of the last reading that are not structured. */
    public long unstructuredLineCount() {
        return unstructuredLineCount;
    }
}
