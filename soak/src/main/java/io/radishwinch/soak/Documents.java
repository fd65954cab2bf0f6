package io.radishwinch.soak;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.soak.scenario.Scenario;
import java.util.List;
import java.util.stream.Collectors;

/** Writes the settings and the configuration objects of a scenario. */
final class Documents {
    private static final int MANY_REQUESTS = 10_000;

    private Documents() {}

    static String router(
            String id, Scenario scenario, int platformPort, String operatorKey, RouterProcess.Ports ports) {
        return """
                routerId: %s
                dataCentre: %s
                caller: {host: %s, port: %d}
                admin: {host: %s, port: %d}
                peer: {host: %s, port: %d}
                platform: {port: %d, vmListIntervalMs: 500}
                retry: {maxAttempts: %d}
                log: {format: json}
                operators: [{name: soak, role: admin, keyHash: 'sha256:%s'}]
                """
                .formatted(
                        id,
                        Deployment.DATA_CENTRE,
                        RouterProcess.HOST,
                        ports.caller(),
                        RouterProcess.HOST,
                        ports.admin(),
                        RouterProcess.HOST,
                        ports.peer(),
                        platformPort,
                        scenario.routers().attempts(),
                        KeyHash.of(operatorKey));
    }

    static String model(Scenario scenario, boolean isChanged) {
        return """
                schema: model/v1
                name: %s
                layerCount: %d
                layerBytes: 1000
                kvBytesPerToken: %d
                """
                .formatted(Deployment.MODEL, scenario.pool().layers(), isChanged ? 2_048 : 1_024);
    }

    /**
     * Returns the contract of an account.
     *
     * @param keys bearer keys of the account
     */
    static String contract(Account account, List<String> keys, boolean isLimitsChanged, boolean isTimeoutChanged) {
        int deadlineMs = account.requests().deadlineMs();
        return """
                schema: contract/v1
                caller: %s
                keyHashes: [%s]
                limits: {concurrentRequests: %d}
                ranks:
                  interactive: {timeoutMs: %d}
                """
                .formatted(
                        account.name(),
                        keys.stream().map(Documents::keyHash).collect(Collectors.joining(", ")),
                        isLimitsChanged ? 2 * MANY_REQUESTS : MANY_REQUESTS,
                        isTimeoutChanged ? 2 * deadlineMs : deadlineMs);
    }

    /** Returns the contract of an account that a change adds. */
    static String addedAccount(String name) {
        return "schema: contract/v1\ncaller: " + name + "\nkeyHashes: [" + keyHash(name) + "]\n";
    }

    private static String keyHash(String key) {
        return "'sha256:" + KeyHash.of(key) + "'";
    }

    static String bystander(boolean isChanged) {
        return "schema: contract/v1\ncaller: " + Deployment.BYSTANDER + "\nweight: " + (isChanged ? 2 : 1) + "\n";
    }
}
