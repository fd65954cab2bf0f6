package io.radishwinch.bench;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.RequestSpec;

/** Records the progress and the outcome of one request of an {@link EngineSimulation}. */
final class RequestTrace {
    final RequestSpec spec;
    Action outcome;
    long endedAtMs;
    long firstTokenAtMs = -1;
    int deliveredTokens;
    int startedAttempts;

    RequestTrace(RequestSpec spec) {
        this.spec = spec;
    }

    boolean isServed() {
        return outcome instanceof Action.Complete && endedAtMs <= spec.deadlineMs();
    }
}
