package io.radishwinch.cli.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * One structured line of a router's log.
 *
 * @param file name of the log file; each router writes a file of its own, or {@code file/process} in captured output
 * @param atMs time by the router's clock, in ms since the epoch
 * @param event name of the event
 * @param fields all JSON members of the line
 */
public record LogLine(String file, long atMs, String event, JsonNode fields) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Set<String> HEADER_FIELDS = Set.of("time", "level", "event", "atMs", "id");

    /** Parses a line; returns empty if it is not structured. */
    static Optional<LogLine> parse(String file, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            // Log collectors often prepend a time or a host name.
            JsonNode fields = JSON.readTree(text.substring(start));
            boolean isEvent =
                    fields.path("event").isTextual() && fields.path("atMs").isIntegralNumber();
            return isEvent
                    ? Optional.of(new LogLine(
                            file,
                            fields.path("atMs").longValue(),
                            fields.path("event").textValue(),
                            fields))
                    : Optional.empty();
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /** Returns a member as text, or an empty string if it is missing. */
    String text(String name) {
        return fields.path(name).asText("");
    }

    /** Returns the members other than time, level, event and identifier, as {@code name=value}. */
    public String details() {
        List<String> details = new ArrayList<>();
        fields.fields().forEachRemaining(field -> {
            if (!HEADER_FIELDS.contains(field.getKey())) {
                details.add(field.getKey() + "=" + field.getValue().asText());
            }
        });
        return String.join(" ", details);
    }
}
