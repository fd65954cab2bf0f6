package io.radishwinch.bench;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures one control tick with 1,300 callers and half of the slots in use. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 3)
public class TickBenchmark {
    /** Number of endpoints. */
    @Param({"480", "5800"})
    public int endpoints;

    private SpeedMeasurements.CoreHarness harness;

    /** Creates a core with half of its slots in use. */
    @Setup(Level.Trial)
    public void setUp() {
        harness = new SpeedMeasurements.CoreHarness(endpoints, SpeedMeasurements.CALLER_COUNT);
        harness.fillSlots(0.5);
    }

    /** Runs one tick and returns its actions. */
    @Benchmark
    public List<Action> tick() {
        harness.nowMs += 50;
        return harness.fixture.core.handle(new Event.Tick(), harness.nowMs);
    }
}
