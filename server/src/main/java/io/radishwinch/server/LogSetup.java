package io.radishwinch.server;

import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Sets level and format of the log lines, which go to standard error. */
final class LogSetup {
    private LogSetup() {}

    static void apply(RouterSettings settings) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level level = level(settings.text(SettingKey.LOG_LEVEL));
        Handler handler = new ConsoleHandler();
        handler.setLevel(level);
        handler.setFormatter(
                settings.text(SettingKey.LOG_FORMAT).equals("json") ? new JsonLogFormatter() : new TextLogFormatter());
        root.addHandler(handler);
        root.setLevel(level);
    }

    private static Level level(String name) {
        return switch (name) {
            case "DEBUG" -> Level.FINE;
            case "WARNING" -> Level.WARNING;
            case "ERROR" -> Level.SEVERE;
            default -> Level.INFO;
        };
    }
}
