package io.radishwinch.core.model;

import java.util.List;

/**
 * Sequence of stages that runs every layer of a model exactly once, in order.
 *
 * @param stages stages from the first layer to the last
 */
public record Chain(List<Stage> stages) {

    /**
     * Copies the stages and checks that each starts at the layer where the previous one ends.
     *
     * @throws IllegalArgumentException if there are no stages, or if they do not start at layer zero, overlap or skip
     *     layers
     */
    public Chain {
        stages = List.copyOf(stages);
        int next = 0;
        for (Stage stage : stages) {
            if (stage.layers().first() != next) {
                throw new IllegalArgumentException("stage " + stage.endpointId() + " starts at layer "
                        + stage.layers().first() + ", expected " + next);
            }
            next = stage.layers().end();
        }
        if (stages.isEmpty()) {
            throw new IllegalArgumentException("a chain needs at least one stage");
        }
    }

    /** Returns the number of layers. */
    public int layerCount() {
        return stages.get(stages.size() - 1).layers().end();
    }

    /** Returns the first stage, to which the router opens the token stream. */
    public Stage firstStage() {
        return stages.get(0);
    }

    /** Returns whether a stage of the chain runs on the endpoint. */
    public boolean uses(String endpointId) {
        return stages.stream().anyMatch(stage -> stage.endpointId().equals(endpointId));
    }
}
