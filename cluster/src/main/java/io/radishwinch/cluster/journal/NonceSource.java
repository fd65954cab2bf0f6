package io.radishwinch.cluster.journal;

import java.util.random.RandomGenerator;

/** Makes marks that are unique in the deployment, because the identifier of a router is never used again. */
final class NonceSource {
    /** Bounds the entries of one batch to a snapshot segment, also if all have the most abandoned nonces. */
    static final int MAX_NONCE_CHARACTERS = 65;

    private static final int MAX_ROUTER_ID_CHARACTERS = 48;
    private static final char SEPARATOR = '#';

    private final String routerId;
    private final RandomGenerator random;
    private long nonceCount;

    NonceSource(String routerId, RandomGenerator random) {
        if (routerId.length() > MAX_ROUTER_ID_CHARACTERS || !routerId.matches("[A-Za-z0-9._:-]+")) {
            throw new IllegalArgumentException("router identifier '" + routerId
                    + "' is not 1 to 48 characters out of letters, digits and . _ : -");
        }
        this.routerId = routerId;
        this.random = random;
    }

    String next() {
        return routerId + SEPARATOR + Long.toHexString(++nonceCount);
    }

    /** Returns the identifier of the router that made a nonce. */
    static String routerOf(String nonce) {
        int separator = nonce.indexOf(SEPARATOR);
        return separator < 0 ? nonce : nonce.substring(0, separator);
    }

    /** Returns whether a nonce of another router keeps to the bounds. */
    static boolean isWellFormed(String nonce) {
        return nonce.length() <= MAX_NONCE_CHARACTERS && nonce.chars().allMatch(character -> character < 128);
    }

    /** Returns a random delay between 0 and the given bound, in ms. */
    long jitterMs(long boundMs) {
        return random.nextLong(boundMs + 1);
    }
}
