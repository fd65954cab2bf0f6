package io.radishwinch.server;

import java.time.temporal.ChronoUnit;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats each log record as one line with time in UTC, level, class name and message. */
final class TextLogFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
        StringBuilder line = new StringBuilder()
                .append(record.getInstant().truncatedTo(ChronoUnit.MILLIS))
                .append(' ')
                .append(record.getLevel().getName())
                .append(' ')
                .append(simpleName(record.getLoggerName()))
                .append(' ')
                .append(formatMessage(record).replace('\n', ' '));
        if (record.getThrown() != null) {
            line.append(": ").append(record.getThrown());
        }
        return line.append('\n').toString();
    }

    private static String simpleName(String loggerName) {
        return loggerName == null ? "" : loggerName.substring(loggerName.lastIndexOf('.') + 1);
    }
}
