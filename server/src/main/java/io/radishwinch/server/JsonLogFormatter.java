package io.radishwinch.server;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a log record as one JSON object on a line. */
final class JsonLogFormatter extends Formatter {
    @Override
    public String format(LogRecord record) {
        ObjectNode line = JsonNodeFactory.instance.objectNode();
        line.put("time", record.getInstant().toString());
        line.put("level", record.getLevel().getName());
        line.put("logger", record.getLoggerName());
        line.put("message", formatMessage(record));
        if (record.getThrown() != null) {
            line.put("error", record.getThrown().toString());
        }
        return line + "\n";
    }
}
