package io.radishwinch.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.radishwinch.config.ConfigError;
import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.vavr.control.Either;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Commands that do not connect to a router. */
final class LocalCommands {
    private LocalCommands() {}

    @Parameters(commandDescription = "Check the settings file of a router")
    static final class CheckSettings extends Command {
        @Parameter(description = "FILE", required = true)
        private String file;

        @Override
        ExitCode run(Session session) {
            String content = TextFiles.read(session.environment().resolve(file), file);
            Either<List<ConfigError>, RouterSettings> result = RouterSettings.read(file, content);
            if (result.isLeft()) {
                session.printErrors(result.getLeft());
                throw new CliException(ExitCode.INVALID, file + " contains invalid settings", "fix the errors above");
            }
            RouterSettings settings = result.get();
            Map<String, String> changed = new LinkedHashMap<>();
            for (SettingKey key : SettingKey.values()) {
                if (!isDefault(settings, key)) {
                    changed.put(key.path(), settings.text(key));
                }
            }
            session.printLine("%s is valid; settings that differ from their defaults: %d", file, changed.size());
            changed.forEach((path, value) -> session.printLine("  %s: %s", path, value));
            if (settings.operators().isEmpty()) {
                session.printNote("no operators are configured, so nobody can use the admin API");
            }
            session.printJson(Map.of("valid", true, "changed", changed));
            return ExitCode.OK;
        }

        private static boolean isDefault(RouterSettings settings, SettingKey key) {
            return key.kind() == SettingKey.Kind.NUMBER
                    ? settings.number(key) == Double.parseDouble(key.defaultValue())
                    : settings.text(key).equals(key.defaultValue());
        }
    }

    @Parameters(commandDescription = "Generate a random key and print it with its hash")
    static final class NewKey extends Command {
        private static final int KEY_BYTES = 32;

        @Override
        ExitCode run(Session session) {
            byte[] bytes = new byte[KEY_BYTES];
            session.environment().random().nextBytes(bytes);
            String key = "rw-" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
            String hash = "sha256:" + KeyHash.of(key);
            session.printLine("key:     %s", key);
            session.printLine("keyHash: %s", hash);
            session.printNote(
                    "the key is not stored and is shown only once; send it to its holder over a secure channel"
                            + " and add the hash to the"
                            + " contract (keyHashes) or the router's settings (operators)");
            session.printJson(Map.of("key", key, "keyHash", hash));
            return ExitCode.OK;
        }
    }
}
