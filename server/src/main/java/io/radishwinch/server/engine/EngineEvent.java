package io.radishwinch.server.engine;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import java.util.List;

/** One event of the stream of an attempt. The last event is {@link Done} or {@link Failed}. */
public sealed interface EngineEvent {

    /** The engine admitted the attempt; from here on it may have run. */
    record Accepted() implements EngineEvent {}

    /**
     * One token of the answer.
     *
     * @param sequence position in the answer, counted from zero over all attempts
     * @param text text
     * @param layers layer ranges that ran, in order
     * @param stageTimesUs time that each stage took, in us, in the order of the chain
     */
    record Token(int sequence, String text, List<LayerRange> layers, long[] stageTimesUs) implements EngineEvent {}

    /**
     * The answer is complete.
     *
     * @param tokens tokens of the whole answer, including those delivered by earlier attempts
     * @param finishReason {@code length} or {@code stop}
     */
    record Done(int tokens, String finishReason) implements EngineEvent {}

    /**
     * The attempt ended without a whole answer.
     *
     * @param endpointId endpoint that failed, or the head of the chain if unknown
     * @param reason what happened
     * @param verdict whether the attempt may have run
     * @param detail text for the log
     */
    record Failed(String endpointId, Reason reason, Verdict verdict, String detail) implements EngineEvent {}
}
