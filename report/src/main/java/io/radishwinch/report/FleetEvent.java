package io.radishwinch.report;

import java.util.Locale;
import java.util.Optional;

/**
 * An event that affected the fleet, or an action that the fleet took.
 *
 * @param atMs time of the event, in ms since the epoch
 * @param kind kind of the event
 * @param subject object concerned, for example an endpoint, caller or rank
 * @param text description in one sentence
 */
public record FleetEvent(long atMs, Kind kind, String subject, String text) {

    /** Largest length of subject and text, in characters; longer values are truncated. */
    public static final int MAX_TEXT_CHARS = 300;

    /** Truncates subject and text to {@link #MAX_TEXT_CHARS}. */
    public FleetEvent {
        subject = truncate(subject);
        text = truncate(text);
    }

    private static String truncate(String text) {
        return text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS - 3) + "...";
    }

    /** Kind of an event. Summaries store the constant names in lower case. */
    public enum Kind {
        /** The offered load rose far above its usual rate or above capacity. */
        SURGE,
        /** A surge ended. */
        SURGE_END,
        /** An endpoint, VM, router, link or the platform failed. */
        FAILURE,
        /** A failed component works again. */
        RECOVERY,
        /** The fleet acted automatically: ejection, placement order, preemption or quarantine. */
        RESPONSE,
        /** A contract, model or service changed. */
        CONFIGURATION,
        /** A VM was drained or a router stopped as planned. */
        DRAIN;

        private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

        /** Returns the name used in summaries, for example {@code surge-end}. */
        public String wireName() {
            return wireName;
        }

        /** Returns the kind with the given wire name, or empty if there is none. */
        public static Optional<Kind> fromWireName(String name) {
            for (Kind kind : values()) {
                if (kind.wireName.equals(name)) {
                    return Optional.of(kind);
                }
            }
            return Optional.empty();
        }
    }
}
