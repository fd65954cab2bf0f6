package io.radishwinch.soak.check;

import static io.radishwinch.soak.Records.attempt;
import static io.radishwinch.soak.Records.events;
import static io.radishwinch.soak.Records.observations;
import static io.radishwinch.soak.Records.request;
import static io.radishwinch.soak.Records.response;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.soak.CallerRecord;
import io.radishwinch.soak.CallerRecord.End;
import io.radishwinch.soak.CallerRecord.Response;
import io.radishwinch.soak.Observations;
import io.radishwinch.soak.Records;
import io.radishwinch.soak.RouterRestart;
import io.radishwinch.standins.AttemptEvent;
import io.radishwinch.standins.AttemptEvent.Kind;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against checks that cannot fail, and against checks that fail without a broken promise. */
class PromiseCheckTest {
    private final PromiseCheck answers = new AnswerCheck();
    private final PromiseCheck order = new StreamOrderCheck(Records::event);
    private final PromiseCheck refusals = new RefusalCheck();

    @ParameterizedTest
    @CsvSource({
        "COMPLETE, 2400, true",
        "REFUSED, 10, true",
        "BROKEN_OFF, 19999, false",
        "BROKEN_OFF, 20000, true",
        "NO_RESPONSE, 10, false",
        "NO_RESPONSE, 20010, false",
        "CALLER_LEFT, 25000, false"
    })
    void aRequestEndsInAWholeResponseOrARefusal(End end, long durationMs, boolean isKept) {
        Observations observed = observations(request(durationMs, response(end, "", events(2))));
        assertThat(answers.violations(observed).isEmpty()).isEqualTo(isKept);
    }

    @Test
    void theDetailOfABrokenOffStreamSaysHowFarItCame() {
        Observations observed = observations(request(600, response(End.BROKEN_OFF, "", events(2))));
        assertThat(answers.violations(observed))
                .extracting(Violation::detail)
                .containsExactly("broken off after 600 of 20000 ms and 2 of 4 events");
    }

    @Test
    void aRequestRunsAtNoMoreEndpointsThanItsAttemptsAllow() {
        CallerRecord complete = request(2_400, response(End.COMPLETE, "", events(4)));
        Observations twoRuns = observations(
                complete,
                attempt(1, Kind.STARTED),
                attempt(2, Kind.ARRIVED),
                attempt(2, Kind.REFUSED),
                attempt(3, Kind.STARTED));
        assertThat(new AttemptLimitCheck(2).violations(twoRuns)).isEmpty();
        assertThat(new AttemptLimitCheck(1).violations(twoRuns))
                .extracting(Violation::detail)
                .containsExactly("ran at engine-1, engine-3; allowed 1");
    }

    @Test
    void runsAtOneEndpointCountAsOneOnceTheCallerHasReceivedAnEvent() {
        AttemptEvent[] runs = {attempt(1, Kind.STARTED), attempt(1, Kind.STARTED)};
        AttemptLimitCheck check = new AttemptLimitCheck(1);
        Observations begun = observations(request(2_400, response(End.COMPLETE, "", events(4))), runs);
        Observations refused = observations(request(2_400, response(End.REFUSED, "may-have-run", List.of())), runs);
        assertThat(check.violations(begun)).isEmpty();
        assertThat(check.violations(refused))
                .extracting(Violation::detail)
                .containsExactly("ran at engine-1, engine-1; allowed 1");
    }

    @Test
    void aStreamWithAllEventsInOrderIsWhole() {
        assertThat(streamFaults(End.COMPLETE, events(4))).isEmpty();
        assertThat(streamFaults(End.BROKEN_OFF, events(2))).isEmpty();
    }

    @Test
    void aStreamIsNotWholeWithARepeatedMissingSwappedForeignOrFurtherEvent() {
        String first = Records.event(Records.NAME, 0);
        String second = Records.event(Records.NAME, 1);
        String third = Records.event(Records.NAME, 2);
        assertThat(streamFaults(End.BROKEN_OFF, List.of(first, first))).hasSize(1);
        assertThat(streamFaults(End.BROKEN_OFF, List.of(first, third))).hasSize(1);
        assertThat(streamFaults(End.BROKEN_OFF, List.of(second, first))).hasSize(1);
        assertThat(streamFaults(End.BROKEN_OFF, List.of(Records.event("other", 0))))
                .hasSize(1);
        assertThat(streamFaults(End.COMPLETE, events(5)))
                .extracting(Violation::detail)
                .containsExactly("event 4 is 'chat-1-1.4', expected 'no event'");
    }

    @Test
    void aStreamThatEndsAsCompleteBeforeItsLastEventIsNotWhole() {
        assertThat(streamFaults(End.COMPLETE, events(3)))
                .extracting(Violation::detail)
                .containsExactly("complete with 3 of 4 events");
    }

    @ParameterizedTest
    @CsvSource({
        "200, true",
        "302, false",
        "400, false",
        "401, false",
        "404, false",
        "408, true",
        "413, false",
        "421, true",
        "429, true",
        "431, false",
        "503, true"
    })
    void aProperRequestIsNotRefusedAsWrong(int status, boolean isKept) {
        Observations observed = observations(request(3, new Response(End.REFUSED, status, "", "", List.of())));
        assertThat(new ProperRequestCheck().violations(observed).isEmpty()).isEqualTo(isKept);
    }

    @Test
    void theDetailOfAProperRequestRefusedAsWrongNamesItsAccountAndTheRestartBeforeIt() {
        CallerRecord refused = request(3, new Response(End.REFUSED, 401, "unauthorized", "", List.of()));
        List<RouterRestart> restarts = List.of(
                new RouterRestart("router-1", 100, 200),
                new RouterRestart("router-1", 803, 990),
                new RouterRestart("router-2", 900, 990),
                new RouterRestart("router-1", 2_000, 2_100));
        Observations observed = new Observations(List.of(refused), Map.of(), List.of(), restarts);
        assertThat(new ProperRequestCheck().violations(observed))
                .extracting(Violation::detail)
                .containsExactly(
                        "status 401 unauthorized for account chat.7, 200 ms after router-1 was killed and started again");
    }

    /** Guards against a kill of a router that counts as a broken promise, and against one that excuses others. */
    @ParameterizedTest
    @CsvSource({
        "router-1, 900, 990, false",
        "router-1, 900, 1000, true",
        "router-1, 1600, 1700, true",
        "router-1, 1601, 1700, false",
        "router-2, 900, 1700, false"
    })
    void onlyTheRestartOfItsOwnRouterExcusesARequestWithoutAResponse(
            String router, long killedAtMs, long listensAtMs, boolean isExcused) {
        Observations observed = new Observations(
                List.of(request(600, response(End.NO_RESPONSE, "", List.of()))),
                Map.of(),
                List.of(),
                List.of(new RouterRestart(router, killedAtMs, listensAtMs)));
        assertThat(answers.violations(observed).isEmpty()).isEqualTo(isExcused);
    }

    private List<Violation> streamFaults(End end, List<String> events) {
        return order.violations(observations(request(2_400, response(end, "", events))));
    }

    @Test
    void aRefusalAsNotRunIsTrueIfNoAttemptRan() {
        CallerRecord refused = request(50, response(End.REFUSED, "not-run", List.of()));
        assertThat(refusals.violations(observations(refused, attempt(1, Kind.ARRIVED), attempt(1, Kind.REFUSED))))
                .isEmpty();
        CallerRecord mayHaveRun = request(500, response(End.REFUSED, "may-have-run", List.of()));
        assertThat(refusals.violations(observations(mayHaveRun, attempt(1, Kind.STARTED))))
                .isEmpty();
    }

    @Test
    void aRefusalAsNotRunIsFalseIfAnAttemptRanBeforeOrAfterIt() {
        CallerRecord refused = request(50, response(End.REFUSED, "not-run", List.of()));
        assertThat(refusals.violations(observations(refused, attempt(1, Kind.STARTED))))
                .extracting(Violation::detail)
                .containsExactly("attempt 1 ran at engine-1 100 ms after the request was sent");
    }

    /** Guards against a stream whose error event says not-run although it ran. */
    @Test
    void aBrokenOffStreamMarkedAsNotRunIsAFalseRefusal() {
        CallerRecord cut = request(500, response(End.BROKEN_OFF, "not-run", List.of()));
        assertThat(refusals.violations(observations(cut, attempt(1, Kind.STARTED))))
                .hasSize(1);
    }
}
