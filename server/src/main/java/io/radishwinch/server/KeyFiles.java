package io.radishwinch.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads keys from files. */
final class KeyFiles {
    private KeyFiles() {}

    /**
     * Returns the key in a file, without surrounding white space, or an empty string if no file is named.
     *
     * @throws UncheckedIOException if the file cannot be read
     */
    static String read(String file) {
        if (file.isEmpty()) {
            return "";
        }
        try {
            return Files.readString(Path.of(file)).strip();
        } catch (IOException e) {
            throw new UncheckedIOException("key file " + file + " cannot be read", e);
        }
    }
}
