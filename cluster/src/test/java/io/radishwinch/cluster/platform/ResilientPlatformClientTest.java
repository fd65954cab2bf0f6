package io.radishwinch.cluster.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.cluster.platform.PlatformClient.PutResult;
import io.radishwinch.cluster.platform.PlatformException.Kind;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;

/** Guards against writes that happen twice, lost responses reported as failures, and overload of a failing platform. */
class ResilientPlatformClientTest {
    private static final int FLEET_SIZE = 360;

    private final VirtualScheduler scheduler = new VirtualScheduler(0);
    private final Random random = new Random(3);
    private final InMemoryPlatform platform = new InMemoryPlatform(scheduler, random);
    private final ResilientPlatformClient client = client();

    private ResilientPlatformClient client() {
        CallBudget budget = new CallBudget(scheduler, new CallRates(200, 200));
        return new ResilientPlatformClient(platform, budget, scheduler, random, PlatformListener.NONE);
    }

    private Object resultOf(Uni<?> call) {
        AtomicReference<Object> outcome = new AtomicReference<>();
        call.subscribe().with(outcome::set, outcome::set);
        scheduler.advance(30_000);
        return outcome.get() instanceof PlatformException failure ? failure.kind() : outcome.get();
    }

    @Test
    void aLostResponseToAPutIsResolvedByItsNonce() {
        platform.faults().loseNextWriteResponses(1);
        assertThat(resultOf(client.put("a", 0, new byte[] {1}, "n1"))).isEqualTo(new PutResult.Written(1));
        assertThat(platform.storeVersion()).isEqualTo(1);
    }

    @Test
    void aLostResponseIsResolvedDespiteAStaleRead() {
        resultOf(client.put("other", 0, new byte[0], "n0"));
        platform.faults().loseNextWriteResponses(1);
        platform.faults().setStaleReads(1, 1);
        assertThat(resultOf(client.put("a", 0, new byte[] {1}, "n1"))).isEqualTo(new PutResult.Written(2));
        assertThat(platform.storeVersion()).isEqualTo(2);
    }

    @Test
    void aLostResponseToADeletionIsResolvedByTheAbsenceOfTheObject() {
        resultOf(client.put("a", 0, new byte[] {1}, "n1"));
        platform.faults().loseNextWriteResponses(1);
        assertThat(resultOf(client.delete("a", 1, "n2"))).isEqualTo(new PutResult.Written(2));
    }

    @Test
    void aWriteThatAnotherRouterReplacedBeforeItWasResolvedStaysUnknown() {
        platform.faults().loseNextWriteResponses(1);
        AtomicReference<Throwable> failure = new AtomicReference<>();
        client.put("a", 0, new byte[] {1}, "n1").subscribe().with(item -> {}, failure::set);
        scheduler.advance(1);
        platform.put("a", 1, new byte[] {2}, "n2").subscribe().with(item -> {});
        scheduler.advance(30_000);
        assertThat(((PlatformException) failure.get()).kind()).isEqualTo(Kind.EFFECT_UNKNOWN);
    }

    @Test
    void aSlowWriteIsReportedAsUnknownAndNotAsFailed() {
        platform.faults().setLatencyMs(100_000, 100_000);
        assertThat(resultOf(client.put("a", 0, new byte[] {1}, "n1"))).isEqualTo(Kind.EFFECT_UNKNOWN);
    }

    @Test
    void aValueAboveTheSizeLimitIsRejectedWithoutACall() {
        byte[] value = new byte[PlatformClient.MAX_VALUE_BYTES + 1];
        assertThat(resultOf(client.put("a", 0, value, "n1"))).isEqualTo(Kind.NO_EFFECT);
        assertThat(platform.writeCalls()).isZero();
    }

    @Test
    void callsFailFastDuringAnOutageAndTheFleetResumesGradually() {
        List<ResilientPlatformClient> fleet = new ArrayList<>();
        for (int i = 0; i < FLEET_SIZE; i++) {
            fleet.add(client());
        }
        platform.faults().setDown(true);
        for (int round = 0; round < 3; round++) {
            fleet.forEach(router -> router.get("a").subscribe().with(item -> {}, failure -> {}));
            scheduler.advance(5_000);
        }
        assertThat(fleet).noneMatch(ResilientPlatformClient::isAvailable);
        AtomicReference<Throwable> failure = new AtomicReference<>();
        fleet.get(0).put("a", 0, new byte[0], "n").subscribe().with(item -> {}, failure::set);
        // The clock did not advance, so the call failed without waiting.
        assertThat(failure.get()).isInstanceOf(PlatformException.class);

        platform.faults().clear();
        long reads = platform.readCalls();
        scheduler.advance(1_000);
        assertThat(platform.readCalls() - reads).isLessThan(200);
        scheduler.advance(4_000);
        assertThat(fleet).allMatch(ResilientPlatformClient::isAvailable);
    }
}
