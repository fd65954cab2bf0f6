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
        boolean isBearer = authorization != null
                && authorization.length() <= MAX_KEY_LENGTH
                && authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length());
        if (!isBearer) {
            return Optional.empty();
        }
        String hash = KeyHash.of(authorization.substring(SCHEME.length()).trim());
        Contract contract = index.byHash().get(hash);
        boolean matches = contract != null && contract.keyHashes().stream().anyMatch(h -> KeyHash.matches(h, hash));
        return matches ? Optional.of(contract) : Optional.empty();
    }

    /** A configuration and its contracts by key hash. */
    private record Index(FleetConfig config, Map<String, Contract> byHash) {}
}
