package io.radishwinch.server.http;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Finds the contract of a bearer key. Thread-safe: the control thread replaces the index, traffic threads read it. */
public final class Authenticator {
    private static final String SCHEME = "bearer ";
    private static final int MAX_KEY_LENGTH = 512;

    /** Enough of a hash to tell keys apart in a log, and too little to find a key. */
    private static final int DIGEST_LENGTH = 12;

    private volatile Index index = new Index(FleetConfig.empty(), Map.of());

    /** Replaces the configuration and rebuilds the index of key hashes. */
    public void configure(FleetConfig config) {
        Map<String, Contract> byHash = new HashMap<>();
        for (Contract contract : config.contracts().values()) {
            for (String hash : contract.keyHashes()) {
                byHash.put(hash, contract);
            }
        }
        index = new Index(config, Map.copyOf(byHash));
    }

    /** Returns the configuration in effect. */
    public FleetConfig config() {
        return index.config();
    }

    /**
     * Returns the contract of the key in an Authorization header, or empty if the key is missing or unknown.
     *
     * <p>The key is hashed before the lookup, so that the response time reveals nothing about existing keys.
     */
    public Optional<Contract> authenticate(String authorization) {
        return keyHash(authorization)
                .flatMap(hash -> Optional.ofNullable(index.byHash().get(hash))
                        .filter(contract -> contract.keyHashes().stream().anyMatch(h -> KeyHash.matches(h, hash))));
    }

    /** Returns a digest of the key in an Authorization header for logs, or an empty string if it has no key. */
    public static String digest(String authorization) {
        return keyHash(authorization)
                .map(hash -> hash.substring(0, DIGEST_LENGTH))
                .orElse("");
    }

    private static Optional<String> keyHash(String authorization) {
        boolean isBearer = authorization != null
                && authorization.length() <= MAX_KEY_LENGTH
                && authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
        return isBearer
                ? Optional.of(
                        KeyHash.of(authorization.substring(SCHEME.length()).trim()))
                : Optional.empty();
    }

    /** A configuration and its contracts by key hash. */
    private record Index(FleetConfig config, Map<String, Contract> byHash) {}
}
