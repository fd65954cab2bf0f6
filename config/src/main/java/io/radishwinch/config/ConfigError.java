package io.radishwinch.config;

/**
 * One fault in a document.
 *
 * @param file name of the document
 * @param line line, counted from 1
 * @param path path of the field, for example {@code $.ranks.batch.timeoutMs}
 * @param message what is wrong
 * @param hint what to do about it, or an empty string
 */
public record ConfigError(String file, int line, String path, String message, String hint) {

    /** Returns the error on one line, in the form {@code file:line: path: message (hint)}. */
    @Override
    public String toString() {
        String text = file + ":" + line + ": " + path + ": " + message;
        return hint.isEmpty() ? text : text + " (" + hint + ")";
    }
}
