package io.radishwinch.cluster.journal;

import java.util.random.RandomGenerator;

/** Makes marks that are unique in the deployment, because the identifier of a router is never used again. */
final class NonceSource {
    private static final char SEPARATOR = '#';

    private final String routerId;
    private final RandomGenerator random;
    private long count;

    NonceSource(String routerId, RandomGenerator random) {
        if (routerId.isEmpty() || routerId.indexOf(SEPARATOR) >= 0 || routerId.length() > 128) {
            throw new IllegalArgumentException("router identifier '" + routerId + "' is empty, too long or contains #");
        }
        this.routerId = routerId;
        this.random = random;
    }

    String next() {
        return routerId + SEPARATOR + Long.toHexString(++count);
    }

    /** Returns the identifier of the router that made a nonce. */
    static String routerOf(String nonce) {
        int separator = nonce.indexOf(SEPARATOR);
        return separator < 0 ? nonce : nonce.substring(0, separator);
    }

    /** Returns a random delay between 0 and the given bound, in ms. */
    long jitterMs(long boundMs) {
        return random.nextLong(boundMs + 1);
    }
}
