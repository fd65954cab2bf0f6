package io.radishwinch.server;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each log record as a JSON object on one line, with {@link LogFields} as members. Their order is kept, so that
 * what comes first survives in tools that shorten lines.
 */
public final class JsonLogFormatter extends Formatter {
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
        }
        return line + "\n";
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
