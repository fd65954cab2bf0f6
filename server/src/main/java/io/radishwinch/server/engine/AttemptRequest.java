package io.radishwinch.server.engine;

import io.radishwinch.core.model.LayerRange;
import java.util.List;

/**
 * An attempt at a request: the chain to run and the tokens already delivered.
 *
 * @param requestId request identifier, 1 to 128 characters of {@code [A-Za-z0-9._:-]}
 * @param epoch epoch of the attempt, higher than that of all earlier attempts at the request
 * @param model model name
 * @param stages chain from the first layer to the last
 * @param prompt prompt text
 * @param promptTokens number of tokens of the prompt
 * @param prefixHashes cumulative hashes of the prompt's blocks, shortest prefix first
 * @param delivered texts of the tokens already delivered to the caller
 * @param maxNewTokens maximum number of generated tokens, including those already delivered
 * @param priority priority for the engine; 0 is the most urgent
 * @param deadlineMs time by which the response must be complete, in ms of the router's clock
 */
public record AttemptRequest(
        String requestId,
        int epoch,
        String model,
        List<StageTarget> stages,
        String prompt,
        int promptTokens,
        List<Long> prefixHashes,
        List<String> delivered,
        int maxNewTokens,
        int priority,
        long deadlineMs) {

    /** Copies the lists. */
    public AttemptRequest {
        stages = List.copyOf(stages);
        prefixHashes = List.copyOf(prefixHashes);
        delivered = List.copyOf(delivered);
        if (stages.isEmpty()) {
            throw new IllegalArgumentException(
                    "stages of attempt at " + requestId + " are empty, expected at least one");
        }
    }

    /** Returns the address of the first stage, which receives the request. */
    public EndpointAddress firstStage() {
        return stages.get(0).address();
    }

    /**
     * One stage of the chain.
     *
     * @param address endpoint that runs the layers
     * @param layers layers run there
     * @param kvSources endpoints from which the stage may import the KV cache of this request
     */
    public record StageTarget(EndpointAddress address, LayerRange layers, List<EndpointAddress> kvSources) {
        /** Copies the list. */
        public StageTarget {
            kvSources = List.copyOf(kvSources);
        }
    }
}
