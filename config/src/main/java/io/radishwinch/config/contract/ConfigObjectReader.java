package io.radishwinch.config.contract;

import io.radishwinch.config.ConfigError;
import io.radishwinch.config.YamlDocument;
import io.radishwinch.config.YamlMapping;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.ServiceSpec;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Reads and validates configuration objects of schema version 1. */
public final class ConfigObjectReader {
    private static final Pattern NAME_PATTERN = Pattern.compile("[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?");
    private static final Pattern KEY_HASH_PATTERN = Pattern.compile("sha256:[0-9a-f]{64}");
    private static final int MAX_KEY_HASHES = 16;
    private static final int MAX_OPERATIONS = 256;
    private static final int MAX_LAYERS = 10_000;
    private static final double MAX_RATE = 1e9;
    private static final long MAX_TIMEOUT_MS = 24 * 3600 * 1000L;
    private static final long DEFAULT_INTERACTIVE_TIMEOUT_MS = 30_000;
    private static final long DEFAULT_ACCOUNT_ACTION_TIMEOUT_MS = 60_000;
    private static final long DEFAULT_BATCH_TIMEOUT_MS = 8 * 3600 * 1000L;
    private static final long DEFAULT_SERVICE_TIMEOUT_MS = 10_000;
    private static final int DEFAULT_CONCURRENT_REQUESTS = 100;

    private ConfigObjectReader() {}

    /** Returns the contract in a document, or its errors in document order. */
    public static Either<List<ConfigError>, Contract> readContract(String file, String text) {
        return YamlDocument.read(file, text, ConfigObjectReader::parseContract);
    }

    /** Returns the model in a document, or its errors in document order. */
    public static Either<List<ConfigError>, ModelSpec> readModel(String file, String text) {
        return YamlDocument.read(file, text, ConfigObjectReader::parseModel);
    }

    /** Returns the plain service in a document, or its errors in document order. */
    public static Either<List<ConfigError>, ServiceSpec> readService(String file, String text) {
        return YamlDocument.read(file, text, ConfigObjectReader::parseService);
    }

    /** Returns the name of the object in a document after validation, or its errors in document order. */
    public static Either<List<ConfigError>, String> check(ObjectKind kind, String file, String text) {
        return switch (kind) {
            case CONTRACT -> readContract(file, text).map(Contract::caller);
            case MODEL -> readModel(file, text).map(ModelSpec::name);
            case SERVICE -> readService(file, text).map(ServiceSpec::name);
        };
    }

    private static Contract parseContract(YamlMapping root) {
        checkSchema(root, "contract/v1");
        String caller = parseName(root, "caller");
        List<String> keys = root.texts("keyHashes");
        if (keys.size() > MAX_KEY_HASHES) {
            root.addError("keyHashes", "expected at most " + MAX_KEY_HASHES + " keys", "");
        }
        for (String key : keys) {
            if (!KEY_HASH_PATTERN.matcher(key).matches()) {
                root.addError("keyHashes", "expected sha256: and 64 hexadecimal digits", "run 'radishwinch key new'");
            }
        }
        double weight = root.number("weight", "shares", 0.01, 1000, 1);
        Limits limits = root.mapping("limits")
                .map(ConfigObjectReader::parseLimits)
                .orElseGet(ConfigObjectReader::defaultLimits);
        Map<Rank, RankTerms> ranks = parseRanks(root, limits);
        Rank defaultRank = parseDefaultRank(root, ranks);
        return new Contract(
                caller,
                keys.stream().map(key -> key.replace("sha256:", "")).toList(),
                weight,
                limits,
                ranks,
                defaultRank,
                new HashSet<>(parseNames(root, "models")),
                new HashSet<>(parseNames(root, "services")));
    }

    private static Limits parseLimits(YamlMapping mapping) {
        Limits limits = new Limits(
                mapping.number("requestsPerS", "requests/s", 0.001, MAX_RATE, MAX_RATE),
                mapping.number("tokensPerS", "tokens/s", 0.001, MAX_RATE, MAX_RATE),
                (int) mapping.integer("concurrentRequests", "requests", 1, 1_000_000, DEFAULT_CONCURRENT_REQUESTS));
        mapping.rejectUnreadFields();
        return limits;
    }

    private static Limits defaultLimits() {
        return new Limits(MAX_RATE, MAX_RATE, DEFAULT_CONCURRENT_REQUESTS);
    }

    private static Map<Rank, RankTerms> parseRanks(YamlMapping root, Limits limits) {
        Map<Rank, RankTerms> ranks = new EnumMap<>(Rank.class);
        YamlMapping mapping = root.mapping("ranks").orElse(null);
        if (mapping == null) {
            ranks.put(Rank.INTERACTIVE, new RankTerms(DEFAULT_INTERACTIVE_TIMEOUT_MS, 0));
            return ranks;
        }
        double floorSumTokensPerS = 0;
        for (String name : mapping.fieldNames()) {
            Rank rank = Rank.fromWireName(name).orElse(null);
            if (rank == null) {
                mapping.addError(name, "unknown rank", "use one of " + rankNames());
                continue;
            }
            RankTerms terms = mapping.mapping(name)
                    .map(m -> parseRankTerms(rank, m))
                    .orElse(new RankTerms(defaultTimeoutMs(rank), 0));
            ranks.put(rank, terms);
            floorSumTokensPerS += terms.floorTokensPerS();
        }
        if (ranks.isEmpty()) {
            root.addError("ranks", "expected at least one rank", "use one of " + rankNames());
        }
        if (floorSumTokensPerS > limits.tokensPerS()) {
            root.addError(
                    "ranks", "the sum of the floors exceeds limits.tokensPerS", "lower a floor or raise the limit");
        }
        return ranks;
    }

    private static RankTerms parseRankTerms(Rank rank, YamlMapping mapping) {
        RankTerms terms = new RankTerms(
                mapping.integer("timeoutMs", "ms", 1, MAX_TIMEOUT_MS, defaultTimeoutMs(rank)),
                mapping.number("floorTokensPerS", "tokens/s", 0, MAX_RATE, 0));
        mapping.rejectUnreadFields();
        return terms;
    }

    private static Rank parseDefaultRank(YamlMapping root, Map<Rank, RankTerms> ranks) {
        Rank first = ranks.keySet().stream().findFirst().orElse(Rank.INTERACTIVE);
        if (!root.has("defaultRank")) {
            return first;
        }
        String name = root.text("defaultRank", "");
        Rank rank = Rank.fromWireName(name).orElse(null);
        if (rank == null || !ranks.containsKey(rank)) {
            root.addError("defaultRank", "expected one of the ranks of the contract", "use one of " + rankNames());
            return first;
        }
        return rank;
    }

    private static long defaultTimeoutMs(Rank rank) {
        return switch (rank) {
            case INTERACTIVE -> DEFAULT_INTERACTIVE_TIMEOUT_MS;
            case ACCOUNT_ACTION -> DEFAULT_ACCOUNT_ACTION_TIMEOUT_MS;
            case BATCH -> DEFAULT_BATCH_TIMEOUT_MS;
        };
    }

    private static ModelSpec parseModel(YamlMapping root) {
        checkSchema(root, "model/v1");
        return new ModelSpec(
                parseName(root, "name"),
                (int) requiredInteger(root, "layerCount", "layers", 1, MAX_LAYERS),
                root.integer("layerBytes", "bytes", 0, Long.MAX_VALUE / 2, 0),
                root.integer("kvBytesPerToken", "bytes", 0, Long.MAX_VALUE / 2, 0),
                (int) root.integer("maxContextTokens", "tokens", 1, 100_000_000, 8192));
    }

    private static ServiceSpec parseService(YamlMapping root) {
        checkSchema(root, "service/v1");
        String name = parseName(root, "name");
        long timeoutMs = root.integer("timeoutMs", "ms", 1, MAX_TIMEOUT_MS, DEFAULT_SERVICE_TIMEOUT_MS);
        List<ServiceSpec.Operation> operations = new ArrayList<>();
        List<YamlMapping> mappings = root.mappings("operations");
        if (mappings.size() > MAX_OPERATIONS) {
            root.addError("operations", "expected at most " + MAX_OPERATIONS + " operations", "");
        }
        for (YamlMapping mapping : mappings) {
            String path = mapping.requiredText("pathPrefix");
            if (!path.startsWith("/")) {
                mapping.addError("pathPrefix", "expected a path that starts with /", "");
            }
            String method = mapping.text("method", "*").toUpperCase(Locale.ROOT);
            if (!mapping.has("repeatable")) {
                mapping.addError(
                        "repeatable",
                        "the field is missing",
                        "write 'repeatable: false' for operations that must not run twice");
            }
            operations.add(new ServiceSpec.Operation(method, path, mapping.bool("repeatable", false)));
            mapping.rejectUnreadFields();
        }
        return new ServiceSpec(name, timeoutMs, operations);
    }

    private static long requiredInteger(YamlMapping root, String field, String unit, long min, long max) {
        if (!root.has(field)) {
            root.addError(field, "the field is missing", "write a number of " + unit);
        }
        return root.integer(field, unit, min, max, min);
    }

    private static void checkSchema(YamlMapping root, String expected) {
        String schema = root.requiredText("schema");
        if (!schema.isBlank() && !schema.equals(expected)) {
            root.addError("schema", "expected " + expected, "");
        }
    }

    private static String parseName(YamlMapping root, String field) {
        String name = root.requiredText(field);
        if (!name.isBlank() && !NAME_PATTERN.matcher(name).matches()) {
            root.addError(field, "expected at most 63 lower-case letters, digits, dots and hyphens", "");
        }
        return name;
    }

    private static List<String> parseNames(YamlMapping root, String field) {
        List<String> names = root.texts(field);
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!NAME_PATTERN.matcher(name).matches()) {
                root.addError(
                        field,
                        "'" + name + "' must consist of at most 63 lower-case letters, digits, dots and hyphens",
                        "");
            }
            if (!seen.add(name)) {
                root.addError(field, "'" + name + "' is listed twice", "");
            }
        }
        return names;
    }

    private static String rankNames() {
        return Arrays.stream(Rank.values()).map(Rank::wireName).collect(Collectors.joining(", "));
    }
}
