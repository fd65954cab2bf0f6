package io.radishwinch.core.impl;

import io.radishwinch.core.DecisionCore.RequestView;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Bounded map of the most recently ended requests. */
final class FinishedRequests {
    private final int capacity;
    private final Map<String, RequestView> views = new LinkedHashMap<>();

    FinishedRequests(int capacity) {
        this.capacity = capacity;
    }

    void add(RequestView view) {
        views.put(view.request().requestId(), view);
        if (views.size() > capacity) {
            views.remove(views.keySet().iterator().next());
        }
    }

    Optional<RequestView> find(String requestId) {
        return Optional.ofNullable(views.get(requestId));
    }
}
