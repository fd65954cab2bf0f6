package io.radishwinch.config.contract;

import java.util.Locale;
import java.util.Optional;

/** Kinds of configuration objects. */
public enum ObjectKind {
    /** A caller's contract. */
    CONTRACT,
    /** A model. */
    MODEL,
    /** A plain service. */
    SERVICE;

    /** Prefix of the platform keys of all configuration objects. */
    public static final String KEY_PREFIX = "config/";

    private final String singular = name().toLowerCase(Locale.ROOT);

    /** Returns the name used in commands and in the schema field, for example {@code contract}. */
    public String singular() {
        return singular;
    }

    /** Returns the name used in paths, for example {@code contracts}. */
    public String plural() {
        return singular + "s";
    }

    /** Returns the platform key of an object of this kind. */
    public String key(String name) {
        return KEY_PREFIX + plural() + "/" + name;
    }

    /** Returns the kind with the given plural name, or empty if there is none. */
    public static Optional<ObjectKind> fromPlural(String plural) {
        for (ObjectKind kind : values()) {
            if (kind.plural().equals(plural)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    /** Returns the kind of the object with a platform key, or empty if it is not a configuration object. */
    public static Optional<ObjectKind> fromKey(String key) {
        String[] parts = key.split("/", 3);
        return parts.length == 3 && (parts[0] + "/").equals(KEY_PREFIX) ? fromPlural(parts[1]) : Optional.empty();
    }
}
