package io.radishwinch.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a quarantine of fingerprints that finish often. */
class CrashQuarantineTest {

    /** Guards against a popular request that is refused because it was running on two endpoints that crashed. */
    @ParameterizedTest
    @CsvSource({"0,2", "1,2", "59,2", "60,3", "80,4", "100,5", "5000,5"})
    void aFingerprintThatOftenFinishedIsQuarantinedAfterMoreCrashes(int finished, int crashes) {
        CrashQuarantine quarantine = new CrashQuarantine(QuarantineSettings.defaults());
        for (int n = 0; n < finished; n++) {
            quarantine.recordRequestFinished("popular", n);
        }
        for (int n = 1; n <= crashes; n++) {
            assertThat(quarantine.isQuarantined("popular", 10_000)).isFalse();
            assertThat(quarantine.canStart("popular", 10_000)).isTrue();
            quarantine.recordCrash("popular", "e" + n, false, 9_000);
        }
        assertThat(quarantine.isQuarantined("popular", 10_000)).isTrue();
    }

    /**
     * Guards against requests that finished in an earlier state of the endpoints and protect crashing ones for ever.
     */
    @ParameterizedTest
    @CsvSource({"599000,false", "601000,true"})
    void finishedRequestsCountForTheTimeOfTrust(long afterMs, boolean isQuarantined) {
        CrashQuarantine quarantine = new CrashQuarantine(QuarantineSettings.defaults());
        for (int n = 0; n < 100; n++) {
            quarantine.recordRequestFinished("popular", 0);
        }
        quarantine.recordCrash("popular", "e1", false, afterMs);
        quarantine.recordCrash("popular", "e2", false, afterMs);
        assertThat(quarantine.isQuarantined("popular", afterMs)).isEqualTo(isQuarantined);
    }

    /** Guards against sound requests that are quarantined with a crashing one whose two endpoints they shared. */
    @Test
    void aRequestThatLostTwoEndpointsWithoutAChanceToFinishRunsOnceMoreAlone() {
        CrashQuarantine quarantine = new CrashQuarantine(QuarantineSettings.defaults());
        quarantine.recordInterruption("f", "e1", true, 0);
        quarantine.recordInterruption("f", "e2", true, 100);
        assertThat(quarantine.canStart("f", 3_000)).isFalse();
        assertThat(quarantine.recordProvenInterruption("f", "e1", 4_000)).isTrue();
        assertThat(quarantine.recordProvenInterruption("f", "e2", 4_100)).isFalse();
        assertThat(quarantine.canStart("f", 6_000)).isTrue();
        quarantine.recordAttemptStarted("f");
        assertThat(quarantine.canStart("f", 6_000)).isFalse();
        quarantine.recordAttemptEnded("f");
        assertThat(quarantine.recordProvenInterruption("f", "e3", 9_000)).isTrue();
        assertThat(quarantine.isQuarantined("f", 9_000)).isTrue();
    }

    /** Guards against evidence that delays copies for longer than its deadline, or that fills the memory. */
    @Test
    void evidenceWithoutAProofExpiresAndIsBounded() {
        CrashQuarantine quarantine = new CrashQuarantine(QuarantineSettings.defaults());
        for (int n = 0; n < 20_000; n++) {
            quarantine.recordInterruption("f" + n, "e", false, 0);
        }
        assertThat(quarantine.size()).isEqualTo(10_000);
        quarantine.recordInterruption("held", "e1", true, 1_000);
        quarantine.recordInterruption("held", "e2", true, 1_000);
        assertThat(quarantine.canStart("held", 10_999)).isFalse();
        assertThat(quarantine.canStart("held", 11_000)).isTrue();
    }
}
