package io.radishwinch.config.settings;

import io.radishwinch.config.ConfigError;
import io.radishwinch.config.YamlDocument;
import io.radishwinch.config.YamlMapping;
import io.vavr.control.Either;
import java.time.DateTimeException;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Immutable settings of one router. */
public final class RouterSettings {
    private static final Pattern KEY_HASH_PATTERN = Pattern.compile("sha256:[0-9a-f]{64}");
    /** Limits the length because each journal record contains a router identifier. */
    private static final Pattern ROUTER_ID_PATTERN = Pattern.compile("[A-Za-z0-9.:-]{0,32}");

    private static final Set<String> LOG_LEVELS = Set.of("DEBUG", "INFO", "WARNING", "ERROR");
    private static final Set<String> LOG_FORMATS = Set.of("text", "json");

    private final Map<SettingKey, String> values;
    private final Set<RouterFeature> features;
    private final List<Operator> operators;

    private RouterSettings(Map<SettingKey, String> values, Set<RouterFeature> features, List<Operator> operators) {
        this.values = values;
        this.features = features;
        this.operators = List.copyOf(operators);
    }

    /** Returns settings with the default of each key. */
    public static RouterSettings defaults() {
        Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
        for (SettingKey key : SettingKey.values()) {
            values.put(key, key.defaultValue());
        }
        Set<RouterFeature> features = EnumSet.noneOf(RouterFeature.class);
        for (RouterFeature feature : RouterFeature.values()) {
            if (feature.enabledByDefault()) {
                features.add(feature);
            }
        }
        return new RouterSettings(values, features, List.of());
    }

    /**
     * Parses and validates settings.
     *
     * @param file name for error messages
     * @param text YAML document
     * @return the settings, or a non-empty list of errors in document order
     */
    public static Either<List<ConfigError>, RouterSettings> read(String file, String text) {
        return YamlDocument.read(file, text, RouterSettings::read);
    }

    /** Returns a copy with another value of a setting; the value is not validated. */
    public RouterSettings with(SettingKey key, Object value) {
        Map<SettingKey, String> copy = new EnumMap<>(values);
        copy.put(key, String.valueOf(value));
        return new RouterSettings(copy, features, operators);
    }

    /** Returns a copy with a feature enabled. */
    public RouterSettings with(RouterFeature feature) {
        Set<RouterFeature> copy = EnumSet.copyOf(features);
        copy.add(feature);
        return new RouterSettings(values, copy, operators);
    }

    /** Returns a copy with a feature disabled. */
    public RouterSettings without(RouterFeature feature) {
        Set<RouterFeature> copy = features.isEmpty() ? EnumSet.noneOf(RouterFeature.class) : EnumSet.copyOf(features);
        copy.remove(feature);
        return new RouterSettings(values, copy, operators);
    }

    /** Returns a copy with another list of operators. */
    public RouterSettings withOperators(List<Operator> newOperators) {
        return new RouterSettings(values, features, newOperators);
    }

    /** Returns a string setting. */
    public String text(SettingKey key) {
        return values.get(key);
    }

    /** Returns a setting that is a list of strings. */
    public List<String> texts(SettingKey key) {
        String value = values.get(key);
        return value.isEmpty() ? List.of() : List.of(value.split(",", -1));
    }

    /** Returns an integer setting, in the unit of its key. */
    public int integer(SettingKey key) {
        return Integer.parseInt(values.get(key));
    }

    /** Returns a numeric setting, in the unit of its key. */
    public double number(SettingKey key) {
        return Double.parseDouble(values.get(key));
    }

    /** Returns whether a feature is enabled. */
    public boolean isEnabled(RouterFeature feature) {
        return features.contains(feature);
    }

    /** Returns the operators with access to the admin API. */
    public List<Operator> operators() {
        return operators;
    }

    private static RouterSettings read(YamlMapping root) {
        Sections sections = new Sections(root);
        Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
        for (SettingKey key : SettingKey.values()) {
            values.put(key, readValue(sections, key));
        }
        checkTls(sections, values);
        checkTimeZone(sections, values);
        if (!ROUTER_ID_PATTERN.matcher(values.get(SettingKey.ROUTER_ID)).matches()) {
            sections.addError(SettingKey.ROUTER_ID, "expected at most 32 letters, digits, dots, colons and hyphens");
        }
        checkChoice(sections, values, SettingKey.LOG_LEVEL, LOG_LEVELS);
        checkChoice(sections, values, SettingKey.LOG_FORMAT, LOG_FORMATS);
        Set<RouterFeature> features = readFeatures(root);
        List<Operator> operators = readOperators(root);
        sections.rejectUnreadFields();
        return new RouterSettings(values, features, operators);
    }

    private static String readValue(Sections sections, SettingKey key) {
        YamlMapping mapping = sections.sectionOf(key);
        String field = Sections.fieldName(key);
        if (mapping == null) {
            return key.defaultValue();
        }
        return switch (key.kind()) {
            case TEXT -> mapping.text(field, key.defaultValue());
            case TEXT_LIST -> String.join(",", mapping.texts(field));
            case INTEGER ->
                Long.toString(mapping.integer(
                        field, key.unit(), (long) key.min(), (long) key.max(), Long.parseLong(key.defaultValue())));
            case NUMBER ->
                Double.toString(mapping.number(
                        field, key.unit(), key.min(), key.max(), Double.parseDouble(key.defaultValue())));
        };
    }

    private static Set<RouterFeature> readFeatures(YamlMapping root) {
        Set<RouterFeature> features = EnumSet.noneOf(RouterFeature.class);
        YamlMapping mapping = root.mapping("features").orElse(null);
        for (RouterFeature feature : RouterFeature.values()) {
            boolean isEnabled = mapping == null
                    ? feature.enabledByDefault()
                    : mapping.bool(feature.field(), feature.enabledByDefault());
            if (isEnabled) {
                features.add(feature);
            }
        }
        if (mapping != null) {
            mapping.rejectUnreadFields();
        }
        return features;
    }

    private static List<Operator> readOperators(YamlMapping root) {
        List<Operator> operators = new ArrayList<>();
        for (YamlMapping mapping : root.mappings("operators")) {
            String name = mapping.requiredText("name");
            String role = mapping.requiredText("role").toUpperCase(Locale.ROOT);
            String keyHash = mapping.requiredText("keyHash");
            if (!KEY_HASH_PATTERN.matcher(keyHash).matches()) {
                mapping.addError("keyHash", "expected sha256: and 64 hexadecimal digits", "run 'radishwinch key new'");
            }
            Operator.Role parsedRole = null;
            for (Operator.Role candidate : Operator.Role.values()) {
                if (candidate.name().equals(role)) {
                    parsedRole = candidate;
                }
            }
            if (parsedRole == null) {
                mapping.addError("role", "unknown role", "use viewer, operator or admin");
            } else {
                operators.add(new Operator(name, parsedRole, keyHash.replace("sha256:", "")));
            }
            mapping.rejectUnreadFields();
        }
        return operators;
    }

    private static void checkTls(Sections sections, Map<SettingKey, String> values) {
        requireTogether(sections, values, SettingKey.CALLER_TLS_CERT_FILE, SettingKey.CALLER_TLS_KEY_FILE);
        requireTogether(sections, values, SettingKey.ADMIN_TLS_CERT_FILE, SettingKey.ADMIN_TLS_KEY_FILE);
        requireTogether(sections, values, SettingKey.PEER_TLS_CERT_FILE, SettingKey.PEER_TLS_KEY_FILE);
        requireTogether(sections, values, SettingKey.PEER_TLS_CERT_FILE, SettingKey.PEER_TLS_CA_FILE);
        requireTlsOffLoopback(sections, values, SettingKey.ADMIN_HOST, SettingKey.ADMIN_TLS_CERT_FILE);
        requireTlsOffLoopback(sections, values, SettingKey.PEER_HOST, SettingKey.PEER_TLS_CERT_FILE);
    }

    private static void requireTogether(
            Sections sections, Map<SettingKey, String> values, SettingKey first, SettingKey second) {
        if (values.get(first).isEmpty() != values.get(second).isEmpty()) {
            SettingKey missing = values.get(first).isEmpty() ? first : second;
            sections.addError(missing, "required for TLS together with the other TLS files");
        }
    }

    private static void requireTlsOffLoopback(
            Sections sections, Map<SettingKey, String> values, SettingKey host, SettingKey certFile) {
        if (values.get(certFile).isEmpty()
                && !values.get(host).startsWith("127.")
                && !values.get(host).equals("::1")) {
            sections.addError(host, "needs TLS on an address that is not loopback; set " + certFile.path());
        }
    }

    private static void checkTimeZone(Sections sections, Map<SettingKey, String> values) {
        try {
            ZoneId.of(values.get(SettingKey.REPORT_TIME_ZONE));
        } catch (DateTimeException e) {
            sections.addError(SettingKey.REPORT_TIME_ZONE, "unknown time zone; use a name such as Europe/Athens");
        }
    }

    private static void checkChoice(
            Sections sections, Map<SettingKey, String> values, SettingKey key, Set<String> choices) {
        if (!choices.contains(values.get(key))) {
            sections.addError(key, "must be one of " + choices.stream().sorted().toList());
        }
    }

    /** Resolves the dotted paths of settings to mappings of the document. */
    private static final class Sections {
        private final YamlMapping root;
        private final Map<String, YamlMapping> sectionsByPath = new HashMap<>();

        Sections(YamlMapping root) {
            this.root = root;
        }

        static String fieldName(SettingKey key) {
            return key.path().substring(key.path().lastIndexOf('.') + 1);
        }

        YamlMapping sectionOf(SettingKey key) {
            int dot = key.path().lastIndexOf('.');
            return dot < 0 ? root : findSection(key.path().substring(0, dot));
        }

        private YamlMapping findSection(String path) {
            if (!sectionsByPath.containsKey(path)) {
                int dot = path.lastIndexOf('.');
                YamlMapping parent = dot < 0 ? root : findSection(path.substring(0, dot));
                YamlMapping mapping = parent == null
                        ? null
                        : parent.mapping(path.substring(dot + 1)).orElse(null);
                sectionsByPath.put(path, mapping);
            }
            return sectionsByPath.get(path);
        }

        void addError(SettingKey key, String message) {
            YamlMapping mapping = sectionOf(key);
            if (mapping != null) {
                mapping.addError(fieldName(key), message, "");
            } else {
                root.addError(key.path(), message, "");
            }
        }

        void rejectUnreadFields() {
            sectionsByPath.values().stream()
                    .filter(mapping -> mapping != null)
                    .forEach(YamlMapping::rejectUnreadFields);
        }
    }
}
