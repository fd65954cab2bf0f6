package io.radishwinch.server;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.temporal.ChronoUnit;
import java.util.Arrays;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.stream.Collectors;

/**
 * Formats each log record as a JSON object on one line, with {@link LogFields} as members. Their order is kept, so that
 * what comes first survives in tools that shorten lines.
 */
public final class JsonLogFormatter extends Formatter {

    /** Frames of an exception in a line, the innermost first. */
    private static final int MAX_FRAMES = 24;

    /** Causes that are followed; a chain of causes may have a cycle. */
    private static final int MAX_CAUSES = 8;

    @Override
    public String format(LogRecord record) {
        ObjectNode line = JsonNodeFactory.instance.objectNode();
        line.put("time", record.getInstant().truncatedTo(ChronoUnit.MILLIS).toString());
        Object[] parameters = record.getParameters();
        if (parameters != null && parameters.length == 1 && parameters[0] instanceof LogFields fields) {
            line.put("event", fields.event());
            fields.values().forEach((name, value) -> put(line, name, value));
            line.put("level", record.getLevel().getName());
        } else {
            line.put("level", record.getLevel().getName());
            line.put("logger", record.getLoggerName());
            line.put("message", formatMessage(record));
        }
        if (record.getThrown() != null) {
            line.put("error", record.getThrown().toString());
            line.put("stack", stackOf(record.getThrown()));
        }
        return line + "\n";
    }

    /** Returns the innermost frames of the exception's root cause. */
    private static String stackOf(Throwable error) {
        Throwable root = error;
        for (int depth = 0; depth < MAX_CAUSES && root.getCause() != null; depth++) {
            root = root.getCause();
        }
        return Arrays.stream(root.getStackTrace())
                .limit(MAX_FRAMES)
                .map(frame -> frame.getClassName() + "." + frame.getMethodName() + ":" + frame.getLineNumber())
                .collect(Collectors.joining(" < "));
    }

    private static void put(ObjectNode line, String name, Object value) {
        if (value instanceof Integer || value instanceof Long) {
            line.put(name, ((Number) value).longValue());
        } else if (value instanceof Number number) {
            line.put(name, number.doubleValue());
        } else if (value instanceof Boolean bool) {
            line.put(name, bool);
        } else if (value instanceof Map<?, ?> map) {
            ObjectNode child = line.putObject(name);
            map.forEach((key, each) -> put(child, String.valueOf(key), each));
        } else {
            line.put(name, String.valueOf(value));
        }
    }
}
