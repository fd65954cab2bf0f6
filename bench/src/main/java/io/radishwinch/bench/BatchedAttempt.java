package io.radishwinch.bench;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.RequestSpec;

/** A running attempt of a {@link BatchingPoolSimulation}. */
final class BatchedAttempt {
    final Action.StartAttempt start;
    final RequestSpec spec;
    Chain chain;

    /** Tokens delivered over all attempts. */
    int deliveredTokens;

    /** Number of interruptions; work of an earlier one is discarded. */
    int interruptions;

    long lastProgressAtUs;

    BatchedAttempt(Action.StartAttempt start, RequestSpec spec) {
        this.start = start;
        this.spec = spec;
        chain = start.chain();
        deliveredTokens = start.resumeFromToken();
    }

    int contextTokens() {
        return spec.promptTokens() + deliveredTokens;
    }

    /** Work of an attempt at one stage: prompt tokens to process, or the token steps of one pass if there are none. */
    static final class StageWork {
        final BatchedAttempt attempt;
        final int stage;
        final int promptTokens;
        /** Last stage that processes the prompt. */
        final int lastPromptStage;
        /** Whether new stages process the tokens of a running stream, which generates no token. */
        final boolean isReplay;

        int processedTokens;
        private final int interruptions;

        StageWork(BatchedAttempt attempt, int stage, int promptTokens, int lastPromptStage, boolean isReplay) {
            this.attempt = attempt;
            this.stage = stage;
            this.promptTokens = promptTokens;
            this.lastPromptStage = lastPromptStage;
            this.isReplay = isReplay;
            interruptions = attempt.interruptions;
        }

        boolean isDiscarded() {
            return attempt.interruptions != interruptions;
        }

        boolean isPrompt() {
            return promptTokens > 0;
        }

        StageWork atNextStage() {
            return new StageWork(attempt, stage + 1, promptTokens, lastPromptStage, isReplay);
        }

        double layerShare() {
            return (double) attempt.chain.stages().get(stage).layers().size() / BatchingPool.MODEL.layerCount();
        }
    }
}
