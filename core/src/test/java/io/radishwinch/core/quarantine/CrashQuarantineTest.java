package io.radishwinch.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

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
}
