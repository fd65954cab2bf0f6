package io.radishwinch.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.soak.CallerRecord.End;
import io.radishwinch.standins.AttemptEvent.Kind;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against timelines that lack a source or are out of order. */
class TimelineTest {
    @Test
    void theLinesOfAllSourcesAreInTheOrderOfTime() {
        CallerRecord request = Records.request(600, Records.response(End.BROKEN_OFF, "", Records.events(2)));
        Observations observations = new Observations(
                List.of(request),
                Map.of(request.name(), List.of(Records.attempt(1, Kind.STARTED), Records.attempt(4, Kind.ENDED))),
                List.of(
                        new Incident(900, "engine-2 is silent"),
                        new Incident(1_250, "engine-1 is silent"),
                        new Incident(1_700, "engine-1 continues")),
                List.of());
        assertThat(Timeline.of(request, observations, List.of(new Timeline.Entry(1_300, "router-1", "retried"))))
                .containsExactly(
                        "       0 ms  caller       sends chat-1-1 to router-1",
                        "     100 ms  engine-1     attempt 1 of r-1 started",
                        "     250 ms  soak         engine-1 is silent",
                        "     300 ms  router-1     retried",
                        "     400 ms  engine-4     attempt 4 of r-1 ended",
                        "     600 ms  caller       chat-1-1 ends: broken-off, status 200, verdict none, 2 of 4 events,"
                                + " 600 of 20000 ms");
    }
}
