package io.radishwinch.bench;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.bench.Figure.Target;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against JSON output that tools cannot parse and against targets that differ from the design page. */
class FigureTableTest {
    private static final Path DESIGN_PAGE = Path.of("..", "docs", "design.md");

    @Test
    void everyObjectHasAllFieldsAndAbsentValuesAreNull() throws Exception {
        List<Figure> figures = List.of(
                Figure.of("a", 1, Targets.ADDED_MEDIAN_MS, "ms", 2),
                Figure.of("b", Double.POSITIVE_INFINITY, Targets.ADDED_P99_MS, "ms"),
                Figure.of("c", 3, Target.NONE, "ms"));
        JsonNode array = new ObjectMapper().readTree(FigureTable.json(figures));
        assertThat(array).hasSize(3);
        for (JsonNode node : array) {
            assertThat(node.fieldNames())
                    .toIterable()
                    .containsExactly("name", "value", "target", "unit", "baseline", "pass");
        }
        assertThat(array.get(0).get("pass").asBoolean()).isTrue();
        assertThat(array.get(0).get("baseline").asDouble()).isEqualTo(2);
        assertThat(array.get(1).get("value").isNull()).isTrue();
        assertThat(array.get(1).get("pass").asBoolean(true)).isFalse();
        assertThat(array.get(2).get("pass").isNull()).isTrue();
    }

    @Test
    void notANumberMissesEveryTarget() {
        assertThat(Figure.of("a", Double.NaN, Targets.ADDED_P99_MS, "ms").meetsTarget())
                .isFalse();
        assertThat(Figure.of("a", Double.NaN, Targets.THROUGHPUT_SHARE, "ratio").meetsTarget())
                .isFalse();
    }

    @Test
    void targetsMatchTheDesignPage() throws Exception {
        String page = Files.readString(DESIGN_PAGE).replaceAll("\\s+", " ");
        assertThat(page)
                .contains("(target at least " + Targets.THROUGHPUT_SHARE.bound() + " of it)")
                .contains("First token within " + Targets.FIRST_TOKEN_MS.bound() / 1_000 + " s and "
                        + roundedBound(Targets.TOKEN_INTERVAL_MS) + " ms between tokens, for 95%")
                .contains("retains at least " + Targets.RETAINED_SHARE.bound() + " of its within-deadline service")
                .contains("every other rank at least " + Targets.FLOOR_SHARE.bound() + " of its contracted floor")
                .contains("Retries are at most " + Math.round(100 * Targets.RETRY_SHARE.bound()) + "% of the load")
                .contains("at most " + roundedBound(Targets.ADDED_MEDIAN_MS) + " ms at the median and "
                        + roundedBound(Targets.ADDED_P99_MS) + " ms at the 99th percentile, at "
                        + roundedBound(Targets.LOAD_REQUESTS_PER_S) + " requests/s and 20,000 tokens/s")
                .contains("at 480 endpoints: at most " + roundedBound(Targets.DECISION_P99_US)
                        + " us at the 99th percentile")
                .contains("our bound is " + roundedBound(Targets.LEAVING_MS, 1_000) + " s from the first indication")
                .contains("our bound is " + roundedBound(Targets.CONFIGURATION_MS, 1_000) + " s.")
                .contains("removed within " + roundedBound(Targets.DETECTION_MS, 1_000) + " s")
                .contains("at most " + Math.round(1_000 * Targets.CONTROL_CORE_SHARE.bound()) / 10.0
                        + "% of a core, 256 MB and " + roundedBound(Targets.CONTROL_BYTES_PER_S, 1_000) + " KB/s")
                .contains("quarantined after two crashes at one router");
        assertThat(Targets.LOAD_TOKENS_PER_S.bound()).isEqualTo(20_000);
        assertThat(Targets.ENDPOINTS_LOST.bound()).isEqualTo(2);
    }

    private static long roundedBound(Target target) {
        return roundedBound(target, 1);
    }

    private static long roundedBound(Target target, long divisor) {
        return Math.round(target.bound() / divisor);
    }
}
