package io.radishwinch.cli;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Inputs that the tool takes from its process. Tests replace them.
 *
 * @param variables environment variables
 * @param workingDirectory directory against which relative paths are resolved
 * @param home home directory
 * @param clock current time and time zone
 * @param random random source for new keys
 */
record Environment(
        Map<String, String> variables, Path workingDirectory, Path home, Clock clock, RandomGenerator random) {

    /** Variable that holds the operator's key. */
    static final String KEY_VARIABLE = "RADISHWINCH_KEY";

    /** Returns the environment of this process. */
    static Environment ofProcess() {
        return new Environment(
                System.getenv(),
                Path.of(""),
                Path.of(System.getProperty("user.home", ".")),
                Clock.systemDefaultZone(),
                new SecureRandom());
    }

    /** Resolves a path against the working directory. */
    Path resolve(String path) {
        return workingDirectory.resolve(path);
    }
}
