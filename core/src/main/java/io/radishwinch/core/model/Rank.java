package io.radishwinch.core.model;

import java.util.Locale;
import java.util.Optional;

/** Urgency class of a request, most urgent first. */
public enum Rank {
    /** Responses that a person is waiting for. */
    INTERACTIVE,
    /** Operations on accounts, such as renewals and refunds. */
    ACCOUNT_ACTION,
    /** Overnight work that no person is waiting for. */
    BATCH;

    private final String wireName = name().toLowerCase(Locale.ROOT).replace('_', '-');

    /** Returns the name used in headers, contracts and metrics, for example {@code account-action}. */
    public String wireName() {
        return wireName;
    }

    /** Returns the rank with the given wire name, or empty if no rank has that name. */
    public static Optional<Rank> fromWireName(String name) {
        for (Rank rank : values()) {
            if (rank.wireName.equals(name)) {
                return Optional.of(rank);
            }
        }
        return Optional.empty();
    }
}
