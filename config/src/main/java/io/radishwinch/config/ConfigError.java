package io.radishwinch.config;

/**
 * An error in a configuration document.
 *
 * @param file name of the document
 * @param line line number, starting at 1
 * @param path path of the field, for example {@code $.ranks.batch.timeoutMs}
 * @param message description of the error
 * @param hint how to correct it, or an empty string
 */
public record ConfigError(String file, int line, String path, String message, String hint) {

    /** Returns the error on one line, in the form {@code file:line: path: message (hint)}. */
    @Override
    public String toString() {
        String text = file + ":" + line + ": " + path + ": " + message;
        return hint.isEmpty() ? text : text + " (" + hint + ")";
    }
}
