package io.radishwinch.cluster.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishwinch.cluster.platform.PlatformException.Kind;
import org.junit.jupiter.api.Test;

class StoreEraTest {
    private final StoreEra era = new StoreEra();

    @Test
    void aLaterEraOrdersBeforeAnyRevision() {
        assertThat(StoreVersion.of(3, 1)).isGreaterThan(StoreVersion.of(2, StoreVersion.MAX_REVISION));
        assertThat(StoreVersion.of(StoreVersion.MAX_ERA, 5)).isPositive();
        assertThat(StoreVersion.era(StoreVersion.of(3, 7))).isEqualTo(3);
        assertThat(StoreVersion.revision(StoreVersion.of(3, 7))).isEqualTo(7);
    }

    @Test
    void erasAndRevisionsOutOfRangeAreRejected() {
        assertThatThrownBy(() -> StoreVersion.of(1, -1)).hasMessageContaining("revision is -1");
        assertThatThrownBy(() -> StoreVersion.of(1, StoreVersion.MAX_REVISION + 1))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> StoreVersion.of(StoreVersion.MAX_ERA + 1, 1))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /** Guards against a response from before a restore that arrives after the restore was noticed. */
    @Test
    void aResponseOfAnEarlierEraIsDiscarded() {
        assertThat(era.observe("4")).isEqualTo(4);
        assertThat(era.observe("5")).isEqualTo(5);
        for (String earlier : new String[] {"4", null}) {
            assertThatThrownBy(() -> era.observe(earlier))
                    .isInstanceOfSatisfying(
                            PlatformException.class, e -> assertThat(e.kind()).isEqualTo(Kind.STORE_RESTORED));
        }
    }

    @Test
    void aHeaderThatIsNoEraIsRejectedAndChangesNothing() {
        era.observe("4");
        for (String header : new String[] {"", "x", "-1", "4.5", "99999999999999999999", "8388608"}) {
            assertThatThrownBy(() -> era.observe(header)).isInstanceOf(IllegalArgumentException.class);
        }
        assertThat(era.latest()).isEqualTo(4);
    }

    @Test
    void onlyAVersionOfTheLatestEraCanBeACondition() {
        era.observe("4");
        assertThat(era.isCurrent(StoreVersion.of(4, 9))).isTrue();
        assertThat(era.isCurrent(StoreVersion.of(3, 9))).isFalse();
        assertThat(era.isCurrent(PlatformClient.ABSENT)).isTrue();
    }
}
