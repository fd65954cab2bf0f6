package io.radishwinch.server.fleet;

import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.quarantine.PromptCrash;
import io.radishwinch.server.LogFields;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Logs the decisions of the core on requests together with their inputs. Used on the control thread. */
final class DecisionLogger {

    private static final HexFormat HEX = HexFormat.of();

    private final FleetLog log;
    private final Function<String, Optional<RequestView>> requests;

    /**
     * Creates a logger.
     *
     * @param requests looks up the core's state of a request
     */
    DecisionLogger(FleetLog log, Function<String, Optional<RequestView>> requests) {
        this.log = log;
        this.requests = requests;
    }

    void logEvent(Event event, long configVersion) {
        if (event instanceof Event.RequestArrived arrived) {
            RequestSpec request = arrived.request();
            log.request(() -> LogFields.of("request-arrived")
                    .with("id", request.requestId())
                    .with("caller", request.caller())
                    .with("rank", request.rank().wireName())
                    .with("pool", request.pool())
                    .with("promptTokens", request.promptTokens())
                    .with("maxNewTokens", request.maxNewTokens())
                    .with("leftMs", request.deadlineMs() - request.arrivedAtMs())
                    .with("parts", hex(request.sharedParts()))
                    .with("config", configVersion));
        } else if (event instanceof Event.AttemptFailed failed) {
            log.request(() -> LogFields.of("attempt-failed")
                    .with("id", failed.requestId())
                    .with("reason", failed.reason().wireName())
                    .with("endpoint", failed.failedEndpointId())
                    .with("epoch", failed.epoch())
                    .with("verdict", failed.verdict().wireName())
                    .with("delivered", failed.deliveredTokens()));
        } else if (event instanceof Event.CrashShared crash) {
            log.stateChanged("crash-reported", crash.fingerprint(), "crashed " + crash.endpointId());
        } else if (event instanceof Event.PromptCrashShared shared) {
            PromptCrash crash = shared.crash();
            log.stateChanged(
                    "prompt-crash-reported",
                    crash.fingerprint(),
                    "crashed " + crash.endpointId() + " with parts " + hex(crash.parts()));
        } else if (event instanceof Event.PartsProven proven) {
            log.stateChanged("parts-proven", hex(proven.parts()), "an answer has begun at another router");
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            log.request(() -> LogFields.of("caller-gone").with("id", disconnected.requestId()));
        }
    }

    void logAction(Action action) {
        if (action instanceof Action.StartAttempt start) {
            log.request(() -> LogFields.of("attempt-started")
                    .with("id", start.requestId())
                    .with("epoch", start.epoch())
                    .with("chain", describe(start.chain()))
                    .with("from", start.resumeFromToken()));
        } else if (action instanceof Action.CancelAttempt cancel) {
            log.request(() -> LogFields.of("attempt-cancelled")
                    .with("id", cancel.requestId())
                    .with("epoch", cancel.epoch())
                    .with("reason", cancel.reason().wireName()));
        } else if (action instanceof Action.Refuse refuse) {
            log.request(() -> LogFields.of("refused")
                    .with("id", refuse.requestId())
                    .with("reason", refuse.reason().wireName())
                    .with("verdict", refuse.verdict().wireName())
                    .with("history", history(refuse.requestId()))
                    .with("retryAfterMs", refuse.retryAfterMs()));
        } else if (action instanceof Action.CountRetry retry) {
            log.request(() -> LogFields.of("retried")
                    .with("id", retry.requestId())
                    .with("reason", retry.reason().wireName())
                    .with("caller", retry.caller()));
        }
    }

    /** Returns the log fields for the result of rerouting a stream. */
    static LogFields rerouteFields(Action.RerouteAttempt reroute, boolean isAccepted, String detail) {
        return LogFields.of(isAccepted ? "attempt-moved" : "move-failed")
                .with("id", reroute.requestId())
                .with("epoch", reroute.epoch())
                .with("chain", describe(reroute.chain()))
                .with("detail", detail);
    }

    private static String hex(List<Long> parts) {
        return parts.stream().map(HEX::toHexDigits).collect(Collectors.joining(" "));
    }

    /** Returns the decisions on a request before its refusal, the latest first. */
    private String history(String requestId) {
        return requests.apply(requestId)
                .map(view -> {
                    List<String> decisions = new ArrayList<>(view.history());
                    Collections.reverse(decisions);
                    return decisions.stream().skip(1).collect(Collectors.joining("; "));
                })
                .orElse("");
    }

    private static String describe(Chain chain) {
        return chain.stages().stream().map(DecisionLogger::describe).collect(Collectors.joining(" "));
    }

    private static String describe(Stage stage) {
        return stage.endpointId() + ":" + stage.layers().first() + "-"
                + stage.layers().end();
    }
}
