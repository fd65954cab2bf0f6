package io.radishwinch.server;

import java.util.List;

/** Extension that runs a whole deployment in one process; found by {@link java.util.ServiceLoader}. */
public interface EmbeddedMode {

    /**
     * Runs until the deployment is stopped.
     *
     * @param arguments arguments behind {@code --embedded}
     * @return exit code of the process
     */
    int run(List<String> arguments) throws Exception;
}
