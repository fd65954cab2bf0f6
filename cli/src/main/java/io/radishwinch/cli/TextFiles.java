package io.radishwinch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads small text files. */
final class TextFiles {
    private static final long MAX_FILE_BYTES = 4_000_000;

    private TextFiles() {}

    /**
     * Returns the content of a file.
     *
     * @param path path of the file
     * @param name file name as given by the operator, for messages
     * @throws CliException if the file cannot be read or is too large
     */
    static String read(Path path, String name) {
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new CliException(
                        ExitCode.INVALID, name + " is too large: it exceeds " + MAX_FILE_BYTES + " bytes", "");
            }
            return Files.readString(path);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot read " + name + ": " + failureReason(e), "");
        }
    }

    /** Describes why a file could not be read or written. */
    static String failureReason(IOException e) {
        return switch (e.getClass().getSimpleName()) {
            case "NoSuchFileException" -> "it does not exist";
            case "AccessDeniedException" -> "access is denied";
            case "MalformedInputException" -> "it is not valid UTF-8";
            default -> String.valueOf(e.getMessage());
        };
    }
}
