package io.radishwinch.server;

import java.util.LinkedHashMap;
import java.util.Map;

/** Fields of a structured log line, passed to a logger as the only parameter of its message. */
public final class LogFields {

    private final String event;
    private final Map<String, Object> values = new LinkedHashMap<>();

    private LogFields(String event) {
        this.event = event;
    }

    /** Returns the fields of a log line for an event. */
    public static LogFields of(String event) {
        return new LogFields(event);
    }

    /** Adds a field. Strings, numbers, booleans and maps keep their type in JSON lines. */
    public LogFields with(String name, Object value) {
        values.put(name, value);
        return this;
    }

    /** Returns the event name, in lower case with hyphens. */
    public String event() {
        return event;
    }

    /** Returns the fields in insertion order. */
    public Map<String, Object> values() {
        return values;
    }

    @Override
    public String toString() {
        return event + " " + values;
    }
}
