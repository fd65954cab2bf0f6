package io.radishwinch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.settings.RouterFeature;
import io.radishwinch.config.settings.SettingKey;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Guards against documentation pages that differ from the settings, features and exit codes in the code. */
class SettingsPageTest {
    private static final Path DOCS = Path.of("../docs");

    private static List<String> rows(String page, String prefix) throws IOException {
        return Files.readString(DOCS.resolve(page))
                .lines()
                .filter(line -> line.startsWith(prefix))
                .toList();
    }

    private static String row(SettingKey key) {
        boolean isNumber = key.kind() == SettingKey.Kind.INTEGER || key.kind() == SettingKey.Kind.NUMBER;
        String bounds = isNumber ? plain(key.min()) + " to " + plain(key.max()) : "";
        String value = key.defaultValue().isEmpty() ? "empty" : "`" + key.defaultValue() + "`";
        String kind = key.kind().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        return "| `" + key.path() + "` | " + kind + " | " + key.unit() + " | " + value + " | " + bounds + " | "
                + key.description() + " |";
    }

    private static String row(RouterFeature feature) {
        return "| `features." + feature.field() + "` | " + (feature.enabledByDefault() ? "on" : "off") + " | "
                + feature.description() + " |";
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? String.format(Locale.ROOT, "%,d", (long) number) : Double.toString(number);
    }

    @Test
    void settingsPageMatchesTheSettingKeys() throws IOException {
        List<String> expected =
                List.of(SettingKey.values()).stream().map(SettingsPageTest::row).toList();
        Files.write(Path.of("../target/radishwinch-cli/settings-rows.md"), expected);
        assertThat(rows("settings.md", "| `").stream()
                        .filter(line -> !line.startsWith("| `features.") && !line.startsWith("| `operators"))
                        .toList())
                .as("the rows to write are in target/radishwinch-cli/settings-rows.md")
                .isEqualTo(expected);
    }

    @Test
    void settingsPageListsEveryFeature() throws IOException {
        assertThat(rows("settings.md", "| `features."))
                .isEqualTo(List.of(RouterFeature.values()).stream()
                        .map(SettingsPageTest::row)
                        .toList());
    }

    @Test
    void gettingStartedPageListsEveryExitCode() throws IOException {
        List<String> expected = List.of(ExitCode.values()).stream()
                .map(code -> "| " + code.code() + " | " + code.description() + " |")
                .toList();
        assertThat(rows("getting-started.md", "| ")).containsAll(expected);
    }
}
