package io.radishwinch.soak.scenario;

import io.radishwinch.config.ConfigError;
import io.radishwinch.config.YamlDocument;
import io.vavr.control.Either;
import java.util.List;

/**
 * What a soak plays.
 *
 * @param routers routers
 * @param pool endpoints of one engine pool
 * @param classes classes of requests, at least one
 * @param changes changes of the configuration
 */
public record Scenario(Routers routers, Pool pool, List<RequestClass> classes, Changes changes) {
    /** Creates a scenario with an immutable copy of the classes. */
    public Scenario {
        classes = List.copyOf(classes);
    }

    /**
     * Reads a scenario.
     *
     * @param file name for error messages
     * @param text content of the file
     * @return the scenario, or a non-empty list of errors in document order
     */
    public static Either<List<ConfigError>, Scenario> read(String file, String text) {
        return YamlDocument.read(file, text, ScenarioReader::read);
    }

    /**
     * Routers.
     *
     * @param count number of router processes
     * @param attempts largest number of attempts of a request
     * @param restarts restarts of the processes
     */
    public record Routers(int count, int attempts, Restarts restarts) {}

    /**
     * Restarts of routers, which are killed and started again.
     *
     * @param kinds kinds of restart, made in turn; empty for none
     * @param intervalMs time between the end of a restart and the next kill, in ms
     */
    public record Restarts(List<RestartKind> kinds, int intervalMs) {
        /** No restarts. */
        public static final Restarts NONE = new Restarts(List.of(), 0);

        /** Creates restarts with an immutable copy of the kinds. */
        public Restarts {
            kinds = List.copyOf(kinds);
        }
    }

    /**
     * Endpoints of one engine pool, each of which holds all layers.
     *
     * @param endpoints number of endpoints
     * @param layers layers of the model
     * @param slots attempts that one endpoint runs at the same time
     * @param eventIntervalMs time between two events of a stream, in ms
     * @param refusedShare share of the attempts that an endpoint refuses as not run, from 0 to 1
     * @param silences silences of the endpoints
     */
    public record Pool(
            int endpoints, int layers, int slots, double eventIntervalMs, double refusedShare, Silences silences) {}

    /**
     * Times in which a sound endpoint sends nothing on any connection; it continues afterwards.
     *
     * @param shortestMs shortest silence, in ms
     * @param longestMs longest silence, in ms; 0 if no endpoint is silent
     * @param intervalMs longest time between two silences of one endpoint, in ms
     */
    public record Silences(int shortestMs, int longestMs, int intervalMs) {
        /** No silences. */
        public static final Silences NONE = new Silences(0, 0, 0);
    }

    /**
     * Class of requests, each of which asks for a stream.
     *
     * @param name name of the class and of its first account
     * @param accounts client accounts that the callers use
     * @param keys keys of each account that the callers use
     * @param callers callers that send one request after the other, or 0 if the class has a rate
     * @param requestsPerS mean rate of requests that do not wait for each other, or 0 if the class has callers
     * @param pauseMs longest pause of a caller between two requests, in ms
     * @param deadlineMs time that a caller gives a request, in ms
     * @param events events of a stream
     */
    public record RequestClass(
            String name,
            int accounts,
            int keys,
            int callers,
            double requestsPerS,
            int pauseMs,
            int deadlineMs,
            int events) {}

    /**
     * Changes of the configuration.
     *
     * @param kinds kinds of change, made in turn; empty for none
     * @param intervalMs time between two changes, in ms
     */
    public record Changes(List<ChangeKind> kinds, int intervalMs) {
        /** No changes. */
        public static final Changes NONE = new Changes(List.of(), 0);

        /** Creates changes with an immutable copy of the kinds. */
        public Changes {
            kinds = List.copyOf(kinds);
        }
    }
}
