package io.radishwinch.report;

import java.util.Locale;
import java.util.Optional;

/**
 * Something that happened to the fleet or that the fleet did.
 *
 * @param atMs time, in ms since the epoch
 * @param kind what sort of event
 * @param subject what it concerns, for example an endpoint, caller or rank
 * @param text what happened, in one sentence
 */
public record FleetEvent(long atMs, Kind kind, String subject, String text) {

    /** Longest subject and text, in characters; longer ones are cut. */
    public static final int MAX_TEXT_CHARS = 300;

    /** Cuts subject and text to their bound. */
    public FleetEvent {
        subject = truncate(subject);
        text = truncate(text);
    }

    private static String truncate(String text) {
        return text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS - 3) + "...";
    }

    /** Sort of an event. */
    public enum Kind {
        /** Offered work rose far above the usual or above capacity. */
        SURGE,
        /** A surge ended. */
        SURGE_END,
        /** An endpoint, VM, router, link or the platform failed. */
        FAILURE,
        /** Something that had failed works again. */
        RECOVERY,
        /** The fleet acted on its own: ejection, placement order, preemption, quarantine. */
        RESPONSE,
        /** A contract, model or service changed. */
        CONFIGURATION,
        /** A VM was drained or a planned stop took place. */
        DRAIN;

        private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

        /** Returns the name in summaries, for example {@code surge-end}. */
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
