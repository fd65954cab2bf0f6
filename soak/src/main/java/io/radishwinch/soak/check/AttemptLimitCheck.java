package io.radishwinch.soak.check;

import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.Observations;
import io.radishwinch.standins.AttemptEvent;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A request runs at no more endpoints than its attempts allow. A stream that has begun may run several times at one
 * endpoint; before that, each run counts.
 */
public final class AttemptLimitCheck implements PromiseCheck {
    private final int maxAttempts;

    /**
     * Creates a check.
     *
     * @param maxAttempts attempts that a request is allowed
     */
    public AttemptLimitCheck(int maxAttempts) {
        this.maxAttempts = maxAttempts;
    }

    @Override
    public String promise() {
        return "a request runs at no more endpoints than its attempts allow";
    }

    @Override
    public Optional<String> fault(CallerRecord request, Observations observations) {
        boolean hasBegun = !request.response().events().isEmpty();
        Stream<String> runs = observations.runsOf(request.name()).stream().map(AttemptEvent::endpoint);
        List<String> counted = (hasBegun ? runs.distinct() : runs).toList();
        return counted.size() > maxAttempts
                ? Optional.of("ran at " + String.join(", ", counted) + "; allowed " + maxAttempts)
                : Optional.empty();
    }
}
