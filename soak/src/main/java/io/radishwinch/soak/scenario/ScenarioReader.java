package io.radishwinch.soak.scenario;

import io.radishwinch.config.YamlMapping;
import io.radishwinch.soak.scenario.Scenario.Changes;
import io.radishwinch.soak.scenario.Scenario.Pool;
import io.radishwinch.soak.scenario.Scenario.RequestClass;
import io.radishwinch.soak.scenario.Scenario.Restarts;
import io.radishwinch.soak.scenario.Scenario.Routers;
import io.radishwinch.soak.scenario.Scenario.Silences;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Reads the fields of a scenario file. */
final class ScenarioReader {
    private static final String SCHEMA = "soak/v1";
    private static final String NAME_PATTERN = "[a-z][a-z0-9-]{0,30}";
    private static final int MAX_ROUTERS = 24;
    private static final int MAX_ENDPOINTS = 64;
    private static final int MAX_LAYERS = 256;
    private static final int MAX_SLOTS = 1_024;
    private static final int MAX_CALLERS = 512;
    private static final int MAX_KEYS = 1_300;
    private static final int MAX_KEYS_PER_ACCOUNT = 8;
    private static final double MAX_REQUESTS_PER_S = 50;
    private static final int MAX_EVENTS = 4_000;
    private static final int MAX_MS = 600_000;

    private ScenarioReader() {}

    static Scenario read(YamlMapping root) {
        String schema = root.requiredText("schema");
        if (!schema.isEmpty() && !schema.equals(SCHEMA)) {
            root.addError("schema", "expected " + SCHEMA + ", found '" + schema + "'", "");
        }
        Routers routers =
                section(root, "routers").map(ScenarioReader::readRouters).orElse(null);
        Pool pool = section(root, "pool").map(ScenarioReader::readPool).orElse(null);
        Changes changes =
                root.mapping("changes").map(ScenarioReader::readChanges).orElse(Changes.NONE);
        return new Scenario(routers, pool, readClasses(root), changes);
    }

    private static Optional<YamlMapping> section(YamlMapping root, String name) {
        if (!root.has(name)) {
            root.addError(name, "the field is missing", "");
        }
        return root.mapping(name);
    }

    private static Routers readRouters(YamlMapping mapping) {
        Routers routers = new Routers(
                required(mapping, "count", "routers", 1, MAX_ROUTERS),
                required(mapping, "attempts", "attempts", 1, 100),
                mapping.mapping("restarts").map(ScenarioReader::readRestarts).orElse(Restarts.NONE));
        mapping.rejectUnreadFields();
        return routers;
    }

    private static Restarts readRestarts(YamlMapping mapping) {
        Restarts restarts = new Restarts(
                kinds(mapping, RestartKind.values(), RestartKind::text),
                required(mapping, "intervalMs", "ms", 50, MAX_MS));
        mapping.rejectUnreadFields();
        return restarts;
    }

    private static Pool readPool(YamlMapping mapping) {
        Pool pool = new Pool(
                required(mapping, "endpoints", "endpoints", 1, MAX_ENDPOINTS),
                required(mapping, "layers", "layers", 1, MAX_LAYERS),
                required(mapping, "slots", "attempts", 1, MAX_SLOTS),
                required(mapping, "eventIntervalMs", "ms", 1, 10_000),
                mapping.number("refusedShare", "attempts/attempt", 0, 1, 0),
                mapping.mapping("silences").map(ScenarioReader::readSilences).orElse(Silences.NONE));
        mapping.rejectUnreadFields();
        return pool;
    }

    private static Silences readSilences(YamlMapping mapping) {
        Silences silences = new Silences(
                required(mapping, "shortestMs", "ms", 1, MAX_MS),
                required(mapping, "longestMs", "ms", 1, MAX_MS),
                required(mapping, "intervalMs", "ms", 1, MAX_MS));
        if (silences.longestMs() < silences.shortestMs()) {
            mapping.addError(
                    "longestMs",
                    "must be at least shortestMs (" + silences.shortestMs() + " ms), found " + silences.longestMs(),
                    "");
        }
        mapping.rejectUnreadFields();
        return silences;
    }

    private static List<RequestClass> readClasses(YamlMapping root) {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (YamlMapping mapping : root.mappings("classes")) {
            RequestClass requests = readClass(mapping);
            if (!names.add(requests.name())) {
                mapping.addError("name", "a second class has the name '" + requests.name() + "'", "");
            }
            classes.add(requests);
        }
        if (classes.isEmpty()) {
            root.addError("classes", "expected at least one class of requests, found none", "");
        }
        int keys = classes.stream()
                .mapToInt(requests -> requests.accounts() * requests.keys())
                .sum();
        if (keys > MAX_KEYS) {
            root.addError("classes", "expected at most " + MAX_KEYS + " keys of all accounts, found " + keys, "");
        }
        return classes;
    }

    private static RequestClass readClass(YamlMapping mapping) {
        String name = mapping.requiredText("name");
        if (!name.isEmpty() && !name.matches(NAME_PATTERN)) {
            mapping.addError("name", "expected " + NAME_PATTERN + ", found '" + name + "'", "");
        }
        if (mapping.has("callers") == mapping.has("requestsPerS")) {
            mapping.addError(
                    "callers",
                    "expected either callers or requestsPerS, found " + (mapping.has("callers") ? "both" : "neither"),
                    "");
        }
        RequestClass requests = new RequestClass(
                name,
                (int) mapping.integer("accounts", "accounts", 1, MAX_KEYS, 1),
                (int) mapping.integer("keys", "keys", 1, MAX_KEYS_PER_ACCOUNT, 1),
                (int) mapping.integer("callers", "callers", 1, MAX_CALLERS, 0),
                mapping.number("requestsPerS", "requests/s", 0.01, MAX_REQUESTS_PER_S, 0),
                (int) mapping.integer("pauseMs", "ms", 0, MAX_MS, 0),
                required(mapping, "deadlineMs", "ms", 1, MAX_MS),
                required(mapping, "events", "events", 1, MAX_EVENTS));
        mapping.rejectUnreadFields();
        return requests;
    }

    private static Changes readChanges(YamlMapping mapping) {
        Changes changes = new Changes(
                kinds(mapping, ChangeKind.values(), ChangeKind::text),
                required(mapping, "intervalMs", "ms", 50, MAX_MS));
        mapping.rejectUnreadFields();
        return changes;
    }

    /** Returns the kinds that a list names, with an error for a missing list and for each unknown name. */
    private static <K> List<K> kinds(YamlMapping mapping, K[] all, Function<K, String> textOf) {
        List<K> kinds = new ArrayList<>();
        for (String text : mapping.texts("kinds")) {
            Optional<K> kind = Arrays.stream(all)
                    .filter(candidate -> textOf.apply(candidate).equals(text))
                    .findFirst();
            if (kind.isEmpty()) {
                String expected = Arrays.stream(all).map(textOf).collect(Collectors.joining(", "));
                mapping.addError("kinds", "expected one of " + expected + ", found '" + text + "'", "");
            }
            kind.ifPresent(kinds::add);
        }
        if (!mapping.has("kinds")) {
            mapping.addError("kinds", "the field is missing", "");
        }
        return kinds;
    }

    /** Returns an integer field, or the smallest value and an error if it is missing. */
    private static int required(YamlMapping mapping, String name, String unit, int min, int max) {
        if (!mapping.has(name)) {
            mapping.addError(name, "the field is missing", "");
        }
        return (int) mapping.integer(name, unit, min, max, min);
    }
}
