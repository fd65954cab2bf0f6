package io.radishwinch.server;

import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures level and format of the log. JSON lines go to standard output, text lines to standard error. */
public final class LogSetup {
    private LogSetup() {}

    /** Applies the settings to all loggers of the process. */
    public static void apply(RouterSettings settings) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        Level level = level(settings.text(SettingKey.LOG_LEVEL));
        boolean isJson = settings.text(SettingKey.LOG_FORMAT).equals("json");
        Handler handler = isJson ? new StdoutHandler(new JsonLogFormatter()) : new ConsoleHandler();
        handler.setLevel(level);
        if (!isJson) {
            handler.setFormatter(new TextLogFormatter());
        }
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
