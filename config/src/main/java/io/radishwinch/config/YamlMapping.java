package io.radishwinch.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * A mapping in a YAML document.
 *
 * <p>Accessors return the default value and report an error if a field is missing or invalid. Fields that no accessor
 * has read are reported by {@link #rejectUnreadFields}.
 */
public final class YamlMapping {
    private static final int MAX_SUGGESTION_DISTANCE = 3;

    private final YamlDocument document;
    private final String path;
    private final MappingNode node;
    private final Map<String, NodeTuple> fields = new LinkedHashMap<>();
    private final Set<String> knownFields = new HashSet<>();

    YamlMapping(YamlDocument document, String path, MappingNode node) {
        this.document = document;
        this.path = path;
        this.node = node;
        for (NodeTuple tuple : node.getValue()) {
            String key = tuple.getKeyNode() instanceof ScalarNode scalar ? scalar.getValue() : "?";
            if (fields.put(key, tuple) != null) {
                document.addError(tuple.getKeyNode(), path + "." + key, "duplicate field", "keep one of the values");
            }
        }
    }

    /** Returns the path of this mapping, for example {@code $.limits}. */
    public String path() {
        return path;
    }

    /** Returns the names of all fields present, in document order, and marks them as read. */
    public List<String> fieldNames() {
        knownFields.addAll(fields.keySet());
        return List.copyOf(fields.keySet());
    }

    /** Returns whether the field is present. */
    public boolean has(String name) {
        return fields.containsKey(name);
    }

    /** Reports an error at the line of a field, or at that of the mapping if the field is absent. */
    public void addError(String name, String message, String hint) {
        NodeTuple tuple = fields.get(name);
        document.addError(tuple == null ? node : tuple.getKeyNode(), path + "." + name, message, hint);
    }

    /** Returns a string field, or an empty string and an error if it is missing; a blank value is an error too. */
    public String requiredText(String name) {
        if (!has(name)) {
            knownFields.add(name);
            addError(name, "the field is missing", "");
            return "";
        }
        String value = text(name, "");
        if (value.isBlank()) {
            addError(name, "the field is empty", "");
        }
        return value;
    }

    /** Returns a string field, or the default value if it is absent. */
    public String text(String name, String defaultValue) {
        return scalar(name).map(ScalarNode::getValue).orElse(defaultValue);
    }

    /** Returns a boolean field, or the default value if it is absent. */
    public boolean bool(String name, boolean defaultValue) {
        Optional<ScalarNode> scalar = scalar(name);
        if (scalar.isEmpty()) {
            return defaultValue;
        }
        String value = scalar.get().getValue();
        if (!value.equals("true") && !value.equals("false")) {
            addError(name, "expected true or false, found '" + abbreviate(value) + "'", "");
        }
        return value.equals("true");
    }

    /**
     * Returns a numeric field, or the default value if it is absent, not a number or out of range.
     *
     * @param unit unit for error messages, for example {@code ms}
     * @param min smallest value allowed
     * @param max largest value allowed
     */
    public double number(String name, String unit, double min, double max, double defaultValue) {
        Optional<ScalarNode> scalar = scalar(name);
        if (scalar.isEmpty()) {
            return defaultValue;
        }
        String value = scalar.get().getValue();
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            addError(
                    name,
                    "expected a number of " + unit + ", found '" + abbreviate(value) + "'",
                    unitHint(value, unit));
            return defaultValue;
        }
        if (!(number >= min && number <= max)) {
            addError(
                    name,
                    "must be from " + formatNumber(min) + " to " + formatNumber(max) + " " + unit + ", found "
                            + formatNumber(number),
                    "");
            return defaultValue;
        }
        return number;
    }

    /** Returns an integer field; truncates a value with a fractional part and reports an error. See {@link #number}. */
    public long integer(String name, String unit, long min, long max, long defaultValue) {
        double value = number(name, unit, min, max, defaultValue);
        if (value != Math.rint(value)) {
            addError(name, "expected an integer number of " + unit, "");
        }
        return (long) value;
    }

    /** Returns the strings of a list field, or an empty list if it is absent. */
    public List<String> texts(String name) {
        List<String> values = new ArrayList<>();
        for (Node item : items(name)) {
            if (item instanceof ScalarNode scalar) {
                values.add(scalar.getValue());
            } else {
                document.addError(item, path + "." + name, "expected a string", "");
            }
        }
        return values;
    }

    /** Returns a mapping field, or empty if it is absent. */
    public Optional<YamlMapping> mapping(String name) {
        knownFields.add(name);
        NodeTuple tuple = fields.get(name);
        if (tuple == null) {
            return Optional.empty();
        }
        if (tuple.getValueNode() instanceof MappingNode mapping) {
            return Optional.of(new YamlMapping(document, path + "." + name, mapping));
        }
        addError(name, "expected a mapping", "indent its fields below it");
        return Optional.empty();
    }

    /** Returns the mappings of a list field, or an empty list if it is absent. */
    public List<YamlMapping> mappings(String name) {
        List<YamlMapping> values = new ArrayList<>();
        int index = 0;
        for (Node item : items(name)) {
            String itemPath = path + "." + name + "[" + index++ + "]";
            if (item instanceof MappingNode mapping) {
                values.add(new YamlMapping(document, itemPath, mapping));
            } else {
                document.addError(item, itemPath, "expected a mapping", "");
            }
        }
        return values;
    }

    /** Reports an error for each field that no accessor has read. */
    public void rejectUnreadFields() {
        for (Map.Entry<String, NodeTuple> field : fields.entrySet()) {
            if (!knownFields.contains(field.getKey())) {
                document.addError(
                        field.getValue().getKeyNode(),
                        path + "." + abbreviate(field.getKey()),
                        "unknown field",
                        closestFieldName(field.getKey())
                                .map(name -> "did you mean " + name + "?")
                                .orElse(""));
            }
        }
    }

    private Optional<ScalarNode> scalar(String name) {
        knownFields.add(name);
        NodeTuple tuple = fields.get(name);
        if (tuple == null) {
            return Optional.empty();
        }
        if (tuple.getValueNode() instanceof ScalarNode scalar
                && !scalar.getTag().equals(Tag.NULL)) {
            return Optional.of(scalar);
        }
        addError(name, "expected a scalar value", "");
        return Optional.empty();
    }

    private List<Node> items(String name) {
        knownFields.add(name);
        NodeTuple tuple = fields.get(name);
        if (tuple == null) {
            return List.of();
        }
        if (tuple.getValueNode() instanceof SequenceNode sequence) {
            return sequence.getValue();
        }
        addError(name, "expected a list", "write one '- item' per line");
        return List.of();
    }

    private Optional<String> closestFieldName(String field) {
        String best = null;
        int bestDistance = Integer.MAX_VALUE;
        for (String candidate : knownFields) {
            boolean isPrefix = candidate.startsWith(field) && field.length() > 2;
            int distance = isPrefix ? 1 : levenshteinDistance(field, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return bestDistance <= MAX_SUGGESTION_DISTANCE ? Optional.ofNullable(best) : Optional.empty();
    }

    /** Returns the Levenshtein distance (V. Levenshtein, 1966) of the first 64 characters of two strings. */
    private static int levenshteinDistance(String left, String right) {
        String a = left.length() > 64 ? left.substring(0, 64) : left;
        String b = right.length() > 64 ? right.substring(0, 64) : right;
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substitution, 1 + Math.min(previous[j], current[j - 1]));
            }
            previous = current;
        }
        return previous[b.length()];
    }

    private static String unitHint(String value, String unit) {
        return value.matches("[0-9.]+ *[a-zA-Z/%]+") ? "write the number alone, in " + unit : "";
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }

    private static String abbreviate(String value) {
        return value.length() <= 80 ? value : value.substring(0, 80) + "...";
    }
}
