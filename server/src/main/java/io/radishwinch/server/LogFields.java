package io.radishwinch.server;

import java.util.LinkedHashMap;
import java.util.Map;

/** Fields of a structured log line; passed to a logger as the only parameter of its message. */
public final class LogFields {

    private final String event;
    private final Map<String, Object> values = new LinkedHashMap<>();

    private LogFields(String event) {
        this.event = event;
    }

    /** Returns fields of a line that tells of an event. */
    public static LogFields of(String event) {
        return new LogFields(event);
    }

    /** Adds a field; texts, numbers and truth values are kept as they are. */
    public LogFields with(String name, Object value) {
        values.put(name, value);
        return this;
    }

    /** Returns what happened, a word or two with hyphens. */
    public String event() {
        return event;
    }

    /** Returns the fields in the order in which they were added. */
    public Map<String, Object> values() {
        return values;
    }

    @Override
    public String toString() {
        return event + " " + values;
    }
}
