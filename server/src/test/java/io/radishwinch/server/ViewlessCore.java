package io.radishwinch.server;

import io.radishwinch.core.DecisionCore;
import java.util.Optional;

/** Decision core of a test that asks for no views. */
public abstract class ViewlessCore implements DecisionCore {

    @Override
    public Optional<RequestView> request(String requestId) {
        return Optional.empty();
    }

    @Override
    public Optional<CallerView> caller(String caller) {
        return Optional.empty();
    }

    @Override
    public CoreView view() {
        throw new UnsupportedOperationException();
    }
}
