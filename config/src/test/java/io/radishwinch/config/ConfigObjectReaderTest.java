package io.radishwinch.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.contract.ConfigObjectReader;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.model.Rank;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Guards against accepting invalid documents and against errors without file, line and path. */
class ConfigObjectReaderTest {

    @Test
    void aMinimalContractNeedsOnlySchemaAndCaller() {
        var contract = ConfigObjectReader.readContract("c.yaml", "schema: contract/v1\ncaller: porter-school\n")
                .get();
        assertThat(contract.caller()).isEqualTo("porter-school");
        assertThat(contract.ranks()).containsOnlyKeys(Rank.INTERACTIVE);
    }

    @Test
    void aNumberWithAUnitIsReportedWithLinePathAndHint() {
        String text = "schema: contract/v1\ncaller: a\nranks:\n  interactive:\n    timeoutMs: 30s\n";
        assertThat(ConfigObjectReader.readContract("c.yaml", text).getLeft())
                .extracting(ConfigError::toString)
                .containsExactly("c.yaml:5: $.ranks.interactive.timeoutMs: expected a number of ms, found '30s'"
                        + " (write the number alone, in ms)");
    }

    @Test
    void anUnknownFieldIsReportedWithTheClosestName() {
        String text = "schema: contract/v1\ncaller: a\nlimits:\n  requestPerS: 3\n";
        assertThat(ConfigObjectReader.readContract("c.yaml", text).getLeft())
                .extracting(ConfigError::toString)
                .containsExactly("c.yaml:4: $.limits.requestPerS: unknown field (did you mean requestsPerS?)");
    }

    @Test
    void floorsAboveTheTokenLimitAreRejected() {
        String text =
                "schema: contract/v1\ncaller: a\nlimits: {tokensPerS: 10}\nranks:\n  batch: {floorTokensPerS: 11}\n";
        assertThat(ConfigObjectReader.readContract("c.yaml", text).getLeft())
                .extracting(ConfigError::path)
                .containsExactly("$.ranks");
    }

    @Test
    void adminHostOutsideLoopbackWithoutTlsIsRejected() {
        assertThat(RouterSettings.read("s.yaml", "admin:\n  host: 10.0.0.4\n").getLeft())
                .extracting(ConfigError::line, ConfigError::path)
                .containsExactly(org.assertj.core.api.Assertions.tuple(2, "$.admin.host"));
    }

    @Test
    void settingsMissingFromTheFileKeepTheirDefaults() {
        RouterSettings settings =
                RouterSettings.read("s.yaml", "caller: {port: 9000}\n").get();
        assertThat(settings.integer(SettingKey.CALLER_PORT)).isEqualTo(9000);
        assertThat(settings.integer(SettingKey.ADMIN_PORT)).isEqualTo(8081);
    }

    @Property(seed = "21", tries = 300)
    void arbitraryTextIsReadOrRejectedWithoutAnException(@ForAll @StringLength(max = 200) String text) {
        assertThat(ConfigObjectReader.readContract("c.yaml", text)).isNotNull();
        assertThat(RouterSettings.read("s.yaml", "caller: {" + text + "}")).isNotNull();
    }
}
