package io.radishwinch.server;

import java.util.List;

/** Runs a whole deployment in one process; implementations are loaded with {@link java.util.ServiceLoader}. */
public interface EmbeddedMode {

    /**
     * Runs until the deployment is stopped.
     *
     * @param arguments command-line arguments after {@code --embedded}
     * @return exit code of the process
     */
    int run(List<String> arguments) throws Exception;
}
