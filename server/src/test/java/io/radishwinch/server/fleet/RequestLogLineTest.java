package io.radishwinch.server.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.core.DecisionCore.RequestView;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.http.ResponseRule;
import io.radishwinch.server.JsonLogFormatter;
import io.radishwinch.server.OutcomeCounter;
import io.radishwinch.server.http.DeliveryStats;
import io.radishwinch.server.http.ResponseOrigin;
import io.radishwinch.server.metrics.RouterMetrics;
import io.radishwinch.server.proxy.ResponseEnd;
import io.radishwinch.server.proxy.ResponseEnd.Carrier;
import io.radishwinch.server.proxy.ResponseEnd.Cause;
import io.radishwinch.server.proxy.ResponseEnd.Framing;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against records of an incident that lack what tells its hypotheses apart, because lines are cut short. */
class RequestLogLineTest {
    /** Length to which lines are cut in the records of incidents. */
    private static final int KEPT_CHARS = 200;

    private static final long NOW_MS = 1_796_572_480_716L;
    private static final String ID = "8ac725e1648b744f";
    private static final String ENDPOINT = "i-53f3442e@1796572437312";
    private static final RequestSpec REQUEST =
            new RequestSpec(ID, "sama895", Rank.BATCH, "service:gyka113", 0, 0, NOW_MS, NOW_MS, "f", List.of(), true);

    private final List<String> lines = new ArrayList<>();
    /** Held, because the logging system refers to loggers weakly. */
    private final Logger logger = Logger.getLogger("radishwinch");

    private final Handler handler = new Handler() {
        private final JsonLogFormatter formatter = new JsonLogFormatter();

        @Override
        public void publish(LogRecord record) {
            lines.add(formatter.format(record));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };

    private final RouterMetrics metrics = new RouterMetrics();
    private final FleetLog log = new FleetLog(() -> NOW_MS);
    private final OutcomeLogger outcomes = new OutcomeLogger(log, new OutcomeCounter(metrics), metrics);
    private final List<String> history = new ArrayList<>();
    private final DecisionLogger decisions = new DecisionLogger(
            log,
            id -> Optional.of(new RequestView(REQUEST, "finished", 2, history, Optional.empty(), Optional.empty())));

    @BeforeEach
    void capture() {
        logger.addHandler(handler);
    }

    @AfterEach
    void release() {
        logger.removeHandler(handler);
    }

    private String lastLine() {
        return lines.get(lines.size() - 1);
    }

    private JsonNode lastFields() throws Exception {
        return new ObjectMapper().readTree(lastLine());
    }

    private void assertKept(String... names) throws Exception {
        String kept = lastLine().substring(0, KEPT_CHARS);
        JsonNode fields = lastFields();
        assertThat(fields.fieldNames()).toIterable().contains("time", "event", "level", "atMs");
        for (String name : names) {
            assertThat(fields.has(name)).as(name).isTrue();
            assertThat(kept).contains("\"" + name + "\":" + fields.get(name));
        }
    }

    private void endResponse(int status, Cause cause, String detail, Carrier carrier) {
        Framing framing = status == 0 ? Framing.NONE : Framing.LENGTH;
        outcomes.responseEnded(ID, new ResponseEnd(2, ENDPOINT, status, framing, 0, cause, detail, carrier));
    }

    @Test
    void theEndOfAResponseKeepsItsCauseConnectionAndEndpoint() throws Exception {
        endResponse(503, Cause.COMPLETE, "", new Carrier(12_345, 17, true, 0));
        assertKept("id", "cause", "status", "epoch", "connection", "endpoint");
        assertThat(lastFields().path("connection").asText()).isEqualTo("12345/17 identified");
        endResponse(503, Cause.REFUSED, "", new Carrier(12_345, 17, false, 3));
        assertKept("id", "cause", "status", "epoch", "connection", "surplus", "endpoint");
    }

    @Test
    void theEndOfAConnectionKeepsItsDetail() throws Exception {
        Carrier carrier = new Carrier(345, 17, false, 0);
        endResponse(0, Cause.CONNECTION_FAILED, "response belongs to another request", carrier);
        assertKept("id", "cause", "epoch", "connection", "detail");
        endResponse(0, Cause.CONNECTION_FAILED, "a surplus response is too long", new Carrier(345, 17, false, 1));
        assertThat(lastLine().substring(0, KEPT_CHARS)).contains("\"surplus\":1", "\"detail\":\"a surplus response is");
        endResponse(200, Cause.PARTIAL, "stream ended without a new event", carrier);
        assertKept("id", "cause", "status", "epoch", "connection", "detail");
    }

    /** Guards against an exception in the record of an incident that names no place in the code. */
    @Test
    void aLineOnAnExceptionNamesWhereItsRootCauseWasThrown() {
        logger.log(Level.SEVERE, "failed", new IllegalStateException("outer", new IllegalArgumentException("inner")));
        assertThat(lastLine())
                .contains("\"error\":\"java.lang.IllegalStateException: outer\"")
                .contains("\"stack\":\"" + RequestLogLineTest.class.getName() + ".aLineOnAnException");
    }

    @Test
    void aMalformedResponseNamesTheRuleAndIsCountedByIt() throws Exception {
        Carrier carrier = new Carrier(345, 17, false, 0, Optional.of(ResponseRule.STATUS));
        endResponse(0, Cause.CONNECTION_FAILED, "malformed response, status: \"HTTP/1.1 000 X\"", carrier);
        assertKept("id", "cause", "epoch", "connection", "rule");
        assertThat(lastFields().path("endpoint").asText()).isEqualTo(ENDPOINT);
        assertThat(metrics.scrape()).contains("radishwinch_endpoint_responses_malformed_total{rule=\"status\"} 1.0");
    }

    @Test
    void aSuccessNamesTheRunThatItCameFrom() throws Exception {
        DeliveryStats delivery = new DeliveryStats(NOW_MS);
        delivery.recordAttempt();
        delivery.recordOrigin(new ResponseOrigin(200, ENDPOINT, new Carrier(12_345, 17, true, 2).describe(), 2));
        outcomes.finished(REQUEST, delivery, Optional.empty());
        assertKept("id", "status", "endpoint", "connection", "surplus", "attempts");
    }

    @Test
    void aRefusalKeepsTheLastAttempt() throws Exception {
        history.add("+0 ms admitted");
        history.add("+3 ms attempt 1 started at " + ENDPOINT + ", 1 stages, from token 0");
        history.add("+214 ms attempt 1 ended: endpoint-error at " + ENDPOINT + ", ran");
        history.add("+214 ms refused: attempts-exhausted");
        decisions.logAction(new Action.Refuse(ID, Reason.ATTEMPTS_EXHAUSTED, Verdict.MAY_HAVE_RUN, 0));
        assertKept("id", "reason", "verdict");
        assertThat(lastLine().substring(0, KEPT_CHARS)).contains("attempt 1 ended: endpoint-error at i-53f3442e");
        assertThat(lastFields().path("history").asText()).endsWith("; +0 ms admitted");
    }

    @Test
    void aFailedAttemptAndItsRetryNameTheirRequest() throws Exception {
        decisions.logEvent(
                new Event.AttemptFailed(ID, 2, ENDPOINT, Reason.ENDPOINT_REFUSED, Verdict.MAY_HAVE_RUN, 0), 1);
        assertKept("id", "reason", "endpoint", "epoch", "verdict");
        decisions.logAction(new Action.CountRetry(ID, "sama895", Rank.BATCH, Reason.ENDPOINT_REFUSED));
        assertThat(lastLine()).contains("\"event\":\"retried\",\"id\":\"" + ID + "\",\"reason\":");
    }
}
