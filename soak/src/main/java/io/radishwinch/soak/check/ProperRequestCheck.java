package io.radishwinch.soak.check;

import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.Observations;
import io.radishwinch.soak.RouterRestart;
import java.util.Optional;
import java.util.Set;

/**
 * No request that every configuration of the run allows is refused as if it were wrong, because its caller would not
 * send it again. All requests of a scenario are proper: each configuration has their keys, path and model.
 */
public final class ProperRequestCheck implements PromiseCheck {
    private static final int FIRST_STATUS = 300;
    private static final int LAST_STATUS = 499;

    /** A request that arrives too slowly, at a router that does not serve it, or beyond a limit may be sent again. */
    private static final Set<Integer> ALLOWED_STATUSES = Set.of(408, 421, 429);

    @Override
    public String promise() {
        return "no request that every configuration of the run allows is refused as wrong";
    }

    @Override
    public Optional<String> fault(CallerRecord request, Observations observations) {
        int status = request.response().status();
        if (status < FIRST_STATUS || status > LAST_STATUS || ALLOWED_STATUSES.contains(status)) {
            return Optional.empty();
        }
        String reason = request.response().reason();
        return Optional.of("status " + status + (reason.isEmpty() ? "" : " " + reason) + " for account "
                + request.account()
                + observations
                        .lastRestartBefore(request)
                        .map(restart -> ", " + time(request, restart))
                        .orElse(""));
    }

    private static String time(CallerRecord request, RouterRestart restart) {
        return request.endedAtMs() - restart.killedAtMs() + " ms after " + restart.router() + " was killed and "
                + "started again";
    }
}
