package io.radishwinch.server.fleet;

import io.radishwinch.server.LogFields;
import io.radishwinch.server.ResponseCutLog;
import io.radishwinch.server.StructuredLog;
import io.radishwinch.server.http.ResponseCut;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Writes a router's decisions and state changes as structured log lines.
 *
 * <p>Token buckets limit the lines on requests, and those on incomplete responses, so that the many of one kind do not
 * hide the other; suppressed lines are counted and the count is logged. Changes of the router's known state are rare
 * and always logged.
 */
final class FleetLog {
    private final StructuredLog log;
    private final StructuredLog.LineLimit requestLimit;
    private final ResponseCutLog cuts;

    FleetLog(LongSupplier clockMs) {
        log = new StructuredLog(clockMs);
        requestLimit = log.limit("request-lines-suppressed");
        cuts = new ResponseCutLog(log);
    }

    /** Logs a change of the known state of an endpoint, a lease, the configuration or the platform. */
    void stateChanged(String event, String subject, String detail) {
        log.write(LogFields.of(event).with("subject", subject).with("detail", detail));
    }

    /** Logs a start, stop or reload of the router. */
    void lifecycle(LogFields fields) {
        log.write(fields);
    }

    /** Logs a decision on a request unless the rate limit is exceeded; safe for use by any thread. */
    void request(Supplier<LogFields> fields) {
        requestLimit.write(fields);
    }

    /** Logs a response that is incomplete, within a limit of its own; safe for use by any thread. */
    void responseCut(ResponseCut cut) {
        cuts.log(cut);
    }
}
