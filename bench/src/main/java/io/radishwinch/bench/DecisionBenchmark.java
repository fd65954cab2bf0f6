package io.radishwinch.bench;

import io.radishwinch.core.action.Action;
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

/** Measures one routing decision and the completion of another attempt, which frees its slots. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 3, time = 3)
public class DecisionBenchmark {
    /** Number of endpoints. */
    @Param({"480", "5800"})
    public int endpoints;

    private SpeedMeasurements.CoreHarness harness;
    private int nextIndex;

    /** Creates a core with half of its slots in use. */
    @Setup(Level.Trial)
    public void setUp() {
        harness = new SpeedMeasurements.CoreHarness(endpoints, 10);
        harness.fillSlots(0.5);
    }

    /** Routes one request and returns the started attempt, or null if the request is queued. */
    @Benchmark
    public Action.StartAttempt decide() {
        Action.StartAttempt start = harness.submitRequest();
        if (start != null) {
            harness.finishAttempt(nextIndex++ % harness.runningAttempts.size());
        }
        return start;
    }
}
