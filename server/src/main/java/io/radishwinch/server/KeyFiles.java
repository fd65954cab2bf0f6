package io.radishwinch.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads keys from files. */
final class KeyFiles {
    private KeyFiles() {}

    /**
     * Returns the content of a key file without surrounding white space, or an empty string if the file name is empty.
     *
     * @throws UncheckedIOException if the file is unreadable
     */
    static String read(String file) {
        if (file.isEmpty()) {
            return "";
        }
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException e) {
            throw new UncheckedIOException("key file " + file + " is unreadable", e);
        }
    }
}
