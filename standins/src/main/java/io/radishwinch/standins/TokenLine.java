package io.radishwinch.standins;

import io.vertx.core.buffer.Buffer;

/** Formats the token lines in the response stream of an attempt. */
final class TokenLine {
    private TokenLine() {}

    /** Returns a token line; the text and the identifiers must not contain characters that JSON escapes. */
    static Buffer of(StageAttempt attempt, int sequence, String trace, String text) {
        StringBuilder line = new StringBuilder(160);
        line.append("{\"type\":\"token\",\"request\":\"").append(attempt.requestId);
        line.append("\",\"epoch\":").append(attempt.epoch);
        line.append(",\"seq\":").append(sequence);
        line.append(",\"text\":\"").append(text);
        line.append("\",\"layers\":[");
        StringBuilder times = new StringBuilder(32);
        int start = 0;
        while (start < trace.length()) {
            int comma = trace.indexOf(',', start);
            int end = comma < 0 ? trace.length() : comma;
            int dash = trace.indexOf('-', start);
            int colon = trace.indexOf(':', start);
            if (start > 0) {
                line.append(',');
                times.append(',');
            }
            line.append('[').append(trace, start, dash).append(',');
            line.append(trace, dash + 1, colon).append(']');
            times.append(trace, colon + 1, end);
            start = end + 1;
        }
        line.append("],\"stageUs\":[").append(times).append("]}\n");
        return Buffer.buffer(line.toString());
    }
}
