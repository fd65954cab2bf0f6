package io.radishwinch.core.impl;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Stage;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Load pattern: an engine in the middle of many chains dies while their streams run. */
class MovedStreamTest {
    private static final int STREAMS = 40;

    private final FakeDirectory directory = new FakeDirectory(3, 2, 100);
    private final CoreBench bench = CoreBench.of(
                    directory,
                    CoreSettings.defaults()
                            .withMovedStreams()
                            .withQueue(CoreSettings.defaults().queue().withCapacity(1_000)))
            .contract("a");

    private void startStreams() {
        for (int i = 0; i < STREAMS; i++) {
            bench.arrive(bench.request("s" + i, "a", Rank.INTERACTIVE, i, 500, 30_000));
        }
        bench.run(100);
        for (int i = 0; i < STREAMS; i++) {
            bench.handle(new Event.AttemptStarted("s" + i, 1));
        }
    }

    private List<Action.MoveAttempt> moves() {
        return bench.actions.stream()
                .filter(Action.MoveAttempt.class::isInstance)
                .map(Action.MoveAttempt.class::cast)
                .toList();
    }

    @Test
    void streamsGoOnOverAnotherEngineWithoutASecondRun() {
        startStreams();
        bench.handle(new Event.EndpointGone("1-0", false));
        assertThat(moves()).isNotEmpty().allSatisfy(move -> {
            assertThat(move.chain().uses("1-0")).isFalse();
            assertThat(move.chain().head())
                    .isEqualTo(
                            bench.trace(move.requestId()).starts.get(0).chain().head());
            bench.handle(new Event.AttemptMoved(move.requestId(), 1, true));
        });
        bench.run(20_000);
        for (int i = 0; i < STREAMS; i++) {
            assertThat(bench.trace("s" + i).starts).hasSize(1);
            assertThat(bench.trace("s" + i).end).isInstanceOf(Action.Complete.class);
        }
        assertThat(directory.runningByEndpoint.values()).containsOnly(0);
    }

    @Test
    void theSlotsOfTheNewEngineCountFromTheMoveOn() {
        startStreams();
        int before = directory.runningByEndpoint.get("1-1");
        bench.handle(new Event.EndpointGone("1-0", false));
        moves().forEach(move -> bench.handle(new Event.AttemptMoved(move.requestId(), 1, true)));
        assertThat(directory.runningByEndpoint.get("1-1")).isEqualTo(STREAMS);
        assertThat(before).isLessThan(STREAMS);
    }

    @Test
    void aStreamWhoseFirstEngineIsLostStartsAgain() {
        startStreams();
        bench.handle(new Event.EndpointGone("0-0", false));
        assertThat(moves()).isEmpty();
        assertThat(bench.actions).anySatisfy(action -> assertThat(action)
                .isInstanceOfSatisfying(Action.CancelAttempt.class, cancel -> assertThat(cancel.reason())
                        .isEqualTo(Reason.STAGE_DIED)));
    }

    @Test
    void aStreamThatCannotBeMovedStartsAgain() {
        startStreams();
        bench.handle(new Event.EndpointGone("1-0", false));
        Action.MoveAttempt move = moves().get(0);
        bench.handle(new Event.AttemptMoved(move.requestId(), 1, false));
        assertThat(bench.actions).contains(new Action.CancelAttempt(move.requestId(), 1, Reason.STAGE_DIED));
    }

    @Test
    void aMoveThatIsNeverAnsweredEndsTheAttempt() {
        startStreams();
        bench.handle(new Event.EndpointGone("1-0", false));
        Action.MoveAttempt move = moves().get(0);
        bench.run(2_000);
        assertThat(bench.actions).contains(new Action.CancelAttempt(move.requestId(), 1, Reason.STAGE_DIED));
    }

    @Test
    void aSecondLossDuringAMoveDoesNotLeaveTheStreamOnALostEngine() {
        startStreams();
        bench.handle(new Event.EndpointGone("1-0", false));
        Action.MoveAttempt move = moves().get(0);
        bench.handle(new Event.EndpointGone("1-1", false));
        bench.handle(new Event.AttemptMoved(move.requestId(), 1, true));
        assertThat(move.chain().stages()).extracting(Stage::endpointId).contains("1-1");
        assertThat(bench.actions).contains(new Action.CancelAttempt(move.requestId(), 1, Reason.STAGE_DIED));
    }
}
