package io.radishwinch.server.http;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Contracts of one configuration by the hash of their bearer keys. Immutable. */
public final class ContractIndex {
    private static final String SCHEME = "bearer ";
    private static final int MAX_KEY_LENGTH = 512;

    /** Enough of a hash to tell keys apart in a log, and too little to find a key. */
    private static final int DIGEST_LENGTH = 12;

    private final Map<String, Contract> byHash;

    private ContractIndex(Map<String, Contract> byHash) {
        this.byHash = byHash;
    }

    /** Returns the index of the contracts of a configuration. */
    public static ContractIndex of(FleetConfig config) {
        Map<String, Contract> byHash = new HashMap<>();
        for (Contract contract : config.contracts().values()) {
            for (String hash : contract.keyHashes()) {
                byHash.put(hash, contract);
            }
        }
        return new ContractIndex(byHash);
    }

    /**
     * Returns the contract of the key in an Authorization header, or empty if the key is missing or unknown.
     *
     * <p>The key is hashed before the lookup, so that the response time reveals nothing about existing keys.
     */
    public Optional<Contract> find(String authorization) {
        return keyHash(authorization).flatMap(hash -> Optional.ofNullable(byHash.get(hash))
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
}
