package io.radishwinch.server.admin;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

/**
 * Who made a change and when; written into the nonce of the platform object, so that a conflict can name its winner.
 *
 * @param operator name of the operator
 * @param atMs time at the router that took the change, in ms since the epoch
 * @param random random part that makes the nonce unique
 */
public record ChangeStamp(String operator, long atMs, String random) {
    private static final String PREFIX = "op1";

    /** Returns the nonce, a text without spaces. */
    public String toNonce() {
        String name = Base64.getUrlEncoder().withoutPadding().encodeToString(operator.getBytes(StandardCharsets.UTF_8));
        return PREFIX + "." + name + "." + atMs + "." + random;
    }

    /** Reads a nonce, or returns empty if another kind of writer wrote it. */
    public static Optional<ChangeStamp> fromNonce(String nonce) {
        String[] parts = nonce.split("\\.", 4);
        if (parts.length != 4 || !parts[0].equals(PREFIX)) {
            return Optional.empty();
        }
        try {
            String name = new String(Base64.getUrlDecoder().decode(parts[1]), StandardCharsets.UTF_8);
            return Optional.of(new ChangeStamp(name, Long.parseLong(parts[2]), parts[3]));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
