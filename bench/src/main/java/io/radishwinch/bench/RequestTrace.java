package io.radishwinch.bench;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.model.RequestSpec;

/** What happened to one request of an {@link EngineRun}. */
final class RequestTrace {
    final RequestSpec spec;
    Action end;
    long endedAtMs;
    long firstTokenAtMs = -1;
    int deliveredTokens;
    int starts;

    RequestTrace(RequestSpec spec) {
        this.spec = spec;
    }

    boolean isServed() {
        return end instanceof Action.Complete && endedAtMs <= spec.deadlineMs();
    }
}
