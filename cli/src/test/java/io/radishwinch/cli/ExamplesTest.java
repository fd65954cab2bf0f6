package io.radishwinch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.contract.ConfigAssembler;
import io.radishwinch.config.contract.ConfigObjectReader;
import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against example documents that are invalid or reference objects that do not exist. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("../examples");

    private static FleetConfig read(String fleet) throws IOException {
        Map<String, String> objects = new TreeMap<>();
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(fleet))) {
            for (Path file : files.sorted().toList()) {
                String text = Files.readString(file);
                String schema = text.lines()
                        .filter(line -> line.startsWith("schema: "))
                        .findFirst()
                        .orElseThrow();
                ObjectKind kind = ObjectKind.fromPlural(schema.replaceAll("schema: (.*)/v1", "$1s"))
                        .orElseThrow();
                String name = file.getFileName().toString().replace(".yaml", "");
                assertThat(ConfigObjectReader.check(kind, file.toString(), text))
                        .isEqualTo(Either.right(name));
                objects.put(kind.key(name), text);
            }
        }
        FleetConfig config = ConfigAssembler.assemble(1, objects);
        assertThat(config.contracts().size()
                        + config.models().size()
                        + config.services().size())
                .isEqualTo(objects.size());
        return config;
    }

    @ParameterizedTest
    @ValueSource(strings = {"quietnight", "thessaloniki"})
    void everyObjectOfAFleetIsValidAndRefersOnlyToOthersOfTheFleet(String fleet) throws IOException {
        FleetConfig config = read(fleet);
        for (Contract contract : config.contracts().values()) {
            assertThat(config.models().keySet()).containsAll(contract.models());
            assertThat(config.services().keySet()).containsAll(contract.services());
            assertThat(contract.keyHashes()).containsExactly(KeyHash.of("example-" + contract.caller()));
        }
    }

    @Test
    void operationsThatChargeOrShipAreNotRepeatable() throws IOException {
        FleetConfig texas = read("quietnight");
        assertThat(texas.services().get("subscriptions").isRepeatable("POST", "/renewals"))
                .isFalse();
        assertThat(texas.services().get("subscriptions").isRepeatable("POST", "/charges/7"))
                .isFalse();
        assertThat(texas.services().get("orders").isRepeatable("POST", "/shipments"))
                .isFalse();
        assertThat(texas.models().get("dreamcoach-24l").layerCount()).isEqualTo(24);
        FleetConfig greece = read("thessaloniki");
        for (String path : List.of("/refunds", "/deposits")) {
            assertThat(greece.services().get("rental-ledger").isRepeatable("POST", path))
                    .isFalse();
        }
    }

    @Test
    void theExampleSettingsOfRouterAndToolAreValid() throws IOException {
        assertThat(RouterSettings.read("r", Files.readString(EXAMPLES.resolve("radishwinchd.yaml")))
                        .get()
                        .operators())
                .hasSize(3);
        assertThat(ToolSettings.read("t", Files.readString(EXAMPLES.resolve("tool.yaml")))
                        .get()
                        .routers())
                .hasSize(2);
    }
}
