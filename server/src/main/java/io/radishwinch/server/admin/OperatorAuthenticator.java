package io.radishwinch.server.admin;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.Operator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Finds the operator of a bearer key. */
final class OperatorAuthenticator {
    private static final String SCHEME = "Bearer ";
    private static final int MAX_KEY_CHARS = 512;

    private final Supplier<List<Operator>> operators;

    /** Creates an authenticator for the supplied operators, which are read on each call. */
    OperatorAuthenticator(Supplier<List<Operator>> operators) {
        this.operators = operators;
    }

    /**
     * Returns the operator whose key is in the header, or empty if there is none. The hashes of all operators are
     * compared, so that the response time does not reveal which one matched.
     *
     * @param authorization value of the Authorization header, or null
     */
    Optional<Operator> authenticate(String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String key = authorization.substring(SCHEME.length()).strip();
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS) {
            return Optional.empty();
        }
        String hash = KeyHash.of(key);
        Operator found = null;
        for (Operator operator : operators.get()) {
            if (KeyHash.matches(operator.keyHash(), hash)) {
                found = operator;
            }
        }
        return Optional.ofNullable(found);
    }
}
