package io.radishwinch.cluster.journal;

import java.util.random.RandomGenerator;

/** Creates nonces that are unique in the deployment, because the identifier of a router is never reused. */
final class NonceSource {
    /**
     * Limits the entries of one batch to the size of a snapshot segment, even if all have the maximum number of
     * abandoned nonces.
     */
    static final int MAX_NONCE_CHARACTERS = 65;

    private static final int MAX_ROUTER_ID_CHARACTERS = 48;
    private static final char SEPARATOR = '#';

    private final String routerId;
    private final RandomGenerator random;
    private long nonceCount;

    NonceSource(String routerId, RandomGenerator random) {
        if (routerId.length() > MAX_ROUTER_ID_CHARACTERS || !routerId.matches("[A-Za-z0-9._:-]+")) {
            throw new IllegalArgumentException("router identifier '" + routerId
                    + "' must consist of 1 to 48 letters, digits and . _ : - characters");
        }
        this.routerId = routerId;
        this.random = random;
    }

    String next() {
        return routerId + SEPARATOR + Long.toHexString(++nonceCount);
    }

    /** Returns the identifier of the router that created a nonce. */
    static String routerOf(String nonce) {
        int separator = nonce.indexOf(SEPARATOR);
        return separator < 0 ? nonce : nonce.substring(0, separator);
    }

    /** Returns whether a nonce of another router has an allowed length and contains only ASCII characters. */
    static boolean isWellFormed(String nonce) {
        return nonce.length() <= MAX_NONCE_CHARACTERS && nonce.chars().allMatch(character -> character < 128);
    }

    /** Returns a random delay between 0 and the given bound, in ms. */
    long jitterMs(long boundMs) {
        return random.nextLong(boundMs + 1);
    }
}
