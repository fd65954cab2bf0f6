package io.radishwinch.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a quarantine that misses a poison part or refuses sound ones. */
class PartQuarantineTest {
    private static final PartQuarantineSettings SETTINGS = PartQuarantineSettings.defaults();

    private final PartQuarantine quarantine = new PartQuarantine(SETTINGS);

    private void crash(String fingerprint, String endpointId, long startedAtMs, long crashedAtMs, Long... parts) {
        quarantine.recordCrash(
                new PromptCrash(fingerprint, endpointId, List.of(parts), startedAtMs, crashedAtMs), crashedAtMs);
    }

    @Test
    void partsThatCannotBeToldApartAreQuarantinedTogetherUntilOneIsProven() {
        crash("f1", "e1", 0, 100, 1L, 2L);
        crash("f2", "e2", 200, 300, 1L, 2L);
        crash("f3", "e3", 400, 500, 1L, 2L);
        assertThat(quarantine.quarantinedUntilMs(List.of(1L, 2L), 500)).isEqualTo(500 + SETTINGS.quarantineMs());
        assertThat(quarantine.quarantinedUntilMs(List.of(1L), 500)).isZero();
        quarantine.recordProof(List.of(1L), 600);
        assertThat(quarantine.quarantinedParts()).containsExactly(Set.of(2L));
        assertThat(quarantine.quarantinedUntilMs(List.of(2L, 3L), 600)).isPositive();
    }

    /** Guards against blame of the part that all requests of a caller begin with. */
    @Test
    void soundRequestsThatRanOnTheCrashedEndpointsDoNotShiftTheBlame() {
        for (int n = 0; n < 3; n++) {
            crash("f" + n, "e" + n, n * 200, n * 200 + 100, 1L, 2L);
            crash("g" + n, "e" + n, n * 200, n * 200 + 100, 1L);
            crash("h" + n, "e" + n, n * 200, n * 200 + 100, 1L, 3L + n);
        }
        assertThat(quarantine.quarantinedParts()).containsExactly(Set.of(1L, 2L));
        quarantine.recordProof(List.of(1L), 700);
        assertThat(quarantine.quarantinedParts()).containsExactly(Set.of(2L));
    }

    /** Guards against blame of a common part while only one request with the poison part is known. */
    @Test
    void aSoundRequestBesideOneThatIsRetriedDoesNotMakeTheCommonPartAlonePoison() {
        for (int n = 0; n < 3; n++) {
            crash("f", "e" + n, n * 200, n * 200 + 100, 1L, 2L);
        }
        crash("g", "e2", 400, 500, 1L);
        assertThat(quarantine.quarantinedUntilMs(List.of(1L, 3L), 500)).isZero();
        assertThat(quarantine.quarantinedUntilMs(List.of(1L, 2L), 500)).isPositive();
    }

    @Test
    void crashesOfARequestThatIsRetriedAreNoEvidenceAgainstItsParts() {
        crash("f1", "e1", 0, 100, 1L);
        crash("f1", "e2", 200, 300, 1L);
        crash("f1", "e3", 400, 500, 1L);
        assertThat(quarantine.quarantinedParts()).isEmpty();
    }

    @Test
    void simultaneousCrashesCountOnce() {
        for (int n = 0; n < 10; n++) {
            crash("f" + n, "e" + n, 0, 100 + n, 1L);
        }
        assertThat(quarantine.quarantinedParts()).isEmpty();
    }

    /** Guards against crashes that are not counted because reports of other routers are dated some ms too late. */
    @Test
    void reportsThatWereDelayedDifferentlyAreStillSuccessive() {
        crash("f1", "e1", 20, 140, 1L);
        crash("f1", "e2", 120, 220, 1L);
        crash("f2", "e3", 170, 290, 1L);
        assertThat(quarantine.quarantinedParts()).containsExactly(Set.of(1L));
    }

    @Test
    void aProofAfterTheCrashesLiftsTheQuarantine() {
        crash("f1", "e1", 0, 100, 1L);
        crash("f2", "e2", 200, 300, 1L);
        crash("f3", "e3", 400, 500, 1L);
        assertThat(quarantine.recordProof(List.of(1L), 600)).isTrue();
        assertThat(quarantine.quarantinedUntilMs(List.of(1L), 600)).isZero();
    }

    @Test
    void aProofBeforeTheCrashesDoesNotProtectAPart() {
        quarantine.recordProof(List.of(1L), 50);
        crash("f1", "e1", 0, 100, 1L);
        crash("f2", "e2", 200, 300, 1L);
        crash("f3", "e3", 400, 500, 1L);
        assertThat(quarantine.quarantinedParts()).containsExactly(Set.of(1L));
    }

    @Test
    void twoPoisonPartsAreFoundIndependently() {
        for (int n = 0; n < 4; n++) {
            crash("f" + n, "e" + n, n * 200, n * 200 + 100, 1L, 5L);
            crash("g" + n, "d" + n, n * 200, n * 200 + 100, 2L, 5L);
            quarantine.recordProof(List.of(5L), n * 200 + 150);
        }
        assertThat(quarantine.quarantinedParts()).containsExactlyInAnyOrder(Set.of(1L), Set.of(2L));
    }

    @Test
    void theQuarantineEndsAfterItsPeriod() {
        crash("f1", "e1", 0, 100, 1L);
        crash("f2", "e2", 200, 300, 1L);
        crash("f3", "e3", 400, 500, 1L);
        long endMs = 500 + SETTINGS.quarantineMs();
        assertThat(quarantine.quarantinedUntilMs(List.of(1L), endMs - 1)).isEqualTo(endMs);
        assertThat(quarantine.quarantinedUntilMs(List.of(1L), endMs)).isZero();
    }

    @Test
    void tablesStayWithinTheirBound() {
        for (int n = 0; n < 3 * SETTINGS.maxCrashes(); n++) {
            crash("f" + n, "e" + n, n, n, (long) n);
            quarantine.recordProof(List.of((long) n), n);
        }
        assertThat(quarantine.size()).isLessThanOrEqualTo(2 * SETTINGS.maxCrashes());
    }
}
