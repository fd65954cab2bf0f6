package io.radishwinch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reading of small text files. */
final class TextFiles {
    private static final long MAX_FILE_BYTES = 4_000_000;

    private TextFiles() {}

    /**
     * Returns the text of a file; a file that cannot be read ends the command.
     *
     * @param path file
     * @param name name of the file as the operator gave it, for messages
     */
    static String read(Path path, String name) {
        try {
            if (Files.size(path) > MAX_FILE_BYTES) {
                throw new CliException(ExitCode.INVALID, name + " has more than " + MAX_FILE_BYTES + " bytes", "");
            }
            return Files.readString(path);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "cannot read " + name + ": " + failureReason(e), "");
        }
    }

    /** Returns why a file could not be read or written. */
    static String failureReason(IOException e) {
        return switch (e.getClass().getSimpleName()) {
            case "NoSuchFileException" -> "it does not exist";
            case "AccessDeniedException" -> "access is denied";
            case "MalformedInputException" -> "it is not UTF-8 text";
            default -> String.valueOf(e.getMessage());
        };
    }
}
