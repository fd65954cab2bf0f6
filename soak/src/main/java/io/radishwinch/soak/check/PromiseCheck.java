package io.radishwinch.soak.check;

import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.Observations;
import java.util.List;
import java.util.Optional;

/** Check of one promise over the observations of a run. */
public interface PromiseCheck {
    /** Returns the promise in one sentence. */
    String promise();

    /** Returns how the promise was broken for a request, or empty if it was kept. */
    Optional<String> fault(CallerRecord request, Observations observations);

    /** Returns the requests for which the promise was broken. */
    default List<Violation> violations(Observations observations) {
        return observations.requests().stream()
                .flatMap(request ->
                        fault(request, observations).map(detail -> new Violation(promise(), request, detail)).stream())
                .toList();
    }
}
