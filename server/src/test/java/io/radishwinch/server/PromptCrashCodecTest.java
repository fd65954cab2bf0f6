package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.quarantine.PromptCrash;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against crash reports that change or fail on their way between routers. */
class PromptCrashCodecTest {

    @Property(seed = "1")
    void aCrashKeepsItsPartsAndDuration(
            @ForAll @Size(min = 1, max = PromptCrashCodec.MAX_PARTS) List<Long> parts,
            @ForAll @IntRange(min = 0, max = 100_000) int durationMs) {
        PromptCrash crash = new PromptCrash("f", "e@1", parts, 5_000, 5_000 + durationMs);
        byte[] value = PromptCrashCodec.encode(crash);
        assertThat(PromptCrashCodec.decode("f", "e@1", value, crash.crashedAtMs())
                        .get())
                .isEqualTo(crash);
    }

    @Test
    void malformedEntriesAreRejectedWithAReason() {
        assertThat(PromptCrashCodec.decode("f", "e", new byte[9], 0).getLeft()).contains("9 bytes");
        assertThat(PromptCrashCodec.parsePartKey("zz").getLeft()).contains("no hash");
        assertThat(PromptCrashCodec.parsePartKey(PromptCrashCodec.partKey(-7)).get())
                .isEqualTo(-7);
    }
}
