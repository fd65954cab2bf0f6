package io.radishwinch.server.engine;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.List;

/** Event of an attempt's stream. The last event is {@link Done} or {@link Failed}. */
public sealed interface EngineEvent {

    /** The engine accepted the attempt, which may have run from now on. */
    record Accepted() implements EngineEvent {}

    /**
     * A generated token.
     *
     * @param sequence position among the generated tokens, counted from zero over all attempts
     * @param text text of the token
     * @param layers layer ranges that ran, in chain order
     * @param stageTimesUs time of each stage in us, in chain order
     */
    record Token(int sequence, String text, List<LayerRange> layers, long[] stageTimesUs) implements EngineEvent {}

    /**
     * The response is complete.
     *
     * @param tokens number of generated tokens, including those delivered by earlier attempts
     * @param finishReason {@code length} or {@code stop}
     */
    record Done(int tokens, String finishReason) implements EngineEvent {}

    /**
     * The attempt ended without a complete response.
     *
     * @param endpointId endpoint that failed, or the first stage of the chain if unknown
     * @param reason reason of the failure
     * @param verdict whether the attempt may have run
     * @param detail details for the log
     */
    record Failed(String endpointId, Reason reason, Verdict verdict, String detail) implements EngineEvent {}
}
