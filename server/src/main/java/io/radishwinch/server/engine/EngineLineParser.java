package io.radishwinch.server.engine;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Verdict;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Parses the lines of an attempt's stream; unknown fields are skipped. */
final class EngineLineParser {
    private static final int MAX_NESTING_DEPTH = 8;
    private static final int MAX_STAGES = 256;
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .maxNumberLength(20)
                    .build())
            .build();

    private EngineLineParser() {}

    /**
     * Parses a line.
     *
     * @throws MalformedLineException if the line is not a JSON object, or a field is missing or of the wrong type
     */
    static Line parse(byte[] bytes, int offset, int length) throws MalformedLineException {
        Line line = new Line();
        try (JsonParser parser = JSON.createParser(bytes, offset, length)) {
            expect(parser.nextToken() == JsonToken.START_OBJECT, "an object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                readField(parser, line);
            }
            expect(parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null, "one object");
        } catch (IOException | IllegalArgumentException e) {
            throw new MalformedLineException("malformed line: " + e.getMessage(), e);
        }
        line.validate();
        return line;
    }

    private static void readField(JsonParser parser, Line line) throws IOException, MalformedLineException {
        String name = parser.currentName();
        JsonToken value = parser.nextToken();
        switch (name) {
            case "type" -> line.type = parseString(parser, value, name);
            case "request" -> line.requestId = parseString(parser, value, name);
            case "epoch" -> line.epoch = parseInt(parser, value, name);
            case "seq" -> line.sequence = parseInt(parser, value, name);
            case "text" -> line.text = parseString(parser, value, name);
            case "layers" -> line.layers = parseLayerRanges(parser, value);
            case "stageUs" -> line.stageTimesUs = parseLongs(parser, value);
            case "tokens" -> line.tokens = parseInt(parser, value, name);
            case "finish" -> line.finishReason = parseString(parser, value, name);
            case "endpoint" -> line.endpointId = parseString(parser, value, name);
            case "verdict" -> line.verdict = parseVerdict(parseString(parser, value, name));
            case "detail" -> line.detail = parseString(parser, value, name);
            default -> parser.skipChildren();
        }
    }

    private static String parseString(JsonParser parser, JsonToken token, String name)
            throws IOException, MalformedLineException {
        expect(token == JsonToken.VALUE_STRING, "a string in field " + name);
        return parser.getText();
    }

    private static int parseInt(JsonParser parser, JsonToken token, String name)
            throws IOException, MalformedLineException {
        expect(token == JsonToken.VALUE_NUMBER_INT, "an integer in field " + name);
        return parser.getIntValue();
    }

    private static List<LayerRange> parseLayerRanges(JsonParser parser, JsonToken token)
            throws IOException, MalformedLineException {
        expect(token == JsonToken.START_ARRAY, "an array in layers");
        List<LayerRange> ranges = new ArrayList<>(4);
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken() == JsonToken.START_ARRAY, "an array in layers");
            expect(ranges.size() < MAX_STAGES, "at most " + MAX_STAGES + " layer ranges");
            int first = parseInt(parser, parser.nextToken(), "layers");
            int end = parseInt(parser, parser.nextToken(), "layers");
            expect(parser.nextToken() == JsonToken.END_ARRAY, "two numbers in each layer range");
            ranges.add(new LayerRange(first, end));
        }
        return ranges;
    }

    private static long[] parseLongs(JsonParser parser, JsonToken token) throws IOException, MalformedLineException {
        expect(token == JsonToken.START_ARRAY, "an array in stageUs");
        long[] values = new long[4];
        int count = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            expect(parser.currentToken() == JsonToken.VALUE_NUMBER_INT, "an integer in stageUs");
            expect(count < MAX_STAGES, "at most " + MAX_STAGES + " stage times");
            if (count == values.length) {
                values = Arrays.copyOf(values, 2 * count);
            }
            values[count++] = parser.getLongValue();
        }
        return Arrays.copyOf(values, count);
    }

    private static Verdict parseVerdict(String name) throws MalformedLineException {
        for (Verdict verdict : Verdict.values()) {
            if (verdict.wireName().equals(name)) {
                return verdict;
            }
        }
        throw new MalformedLineException("unknown value of field verdict: " + name);
    }

    private static void expect(boolean condition, String expected) throws MalformedLineException {
        if (!condition) {
            throw new MalformedLineException("expected " + expected);
        }
    }

    /** Fields of a line; fields that its type does not have are null or -1. */
    static final class Line {
        String type;
        String requestId;
        int epoch = -1;
        int sequence = -1;
        String text;
        List<LayerRange> layers;
        long[] stageTimesUs;
        int tokens = -1;
        String finishReason = "length";
        String endpointId;
        Verdict verdict;
        String detail = "";

        private void validate() throws MalformedLineException {
            expect(type != null, "field type");
            expect(requestId != null && epoch >= 0, "fields request and epoch");
            switch (type) {
                case "accepted" -> {}
                case "token" ->
                    expect(
                            sequence >= 0 && text != null && layers != null && stageTimesUs != null,
                            "fields seq, text, layers and stageUs");
                case "done" -> expect(tokens >= 0, "field tokens");
                case "error" -> expect(endpointId != null && verdict != null, "fields endpoint and verdict");
                default -> throw new MalformedLineException("unknown value of field type: " + type);
            }
        }
    }
}
