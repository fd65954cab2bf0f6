package io.radishwinch.server.admin;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

/**
 * Operator and time of a change. It is encoded in the nonce of the platform object, so that a conflict response can
 * name the operator whose change was stored.
 *
 * @param operator name of the operator
 * @param atMs time of the change by the clock of the router that received it, in ms since the epoch
 * @param random random part that makes the nonce unique
 */
public record ChangeStamp(String operator, long atMs, String random) {
    private static final String PREFIX = "op1";

    /** Encodes the stamp as a nonce without spaces. */
    public String toNonce() {
        String name = Base64.getUrlEncoder().withoutPadding().encodeToString(operator.getBytes(StandardCharsets.UTF_8));
        return PREFIX + "." + name + "." + atMs + "." + random;
    }

    /** Decodes a nonce. Returns empty if the nonce was not written by the operators' interface. */
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
