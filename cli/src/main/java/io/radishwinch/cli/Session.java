package io.radishwinch.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.radishwinch.config.ConfigError;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Locale;

/** One run of a command: its settings, its output and its connection, opened when first needed. */
final class Session implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper()
            .enable(SerializationFeature.INDENT_OUTPUT, SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    private final CommonOptions options;
    private final Environment environment;
    private final ToolSettings settings;
    private final PrintStream out;
    private final PrintStream err;
    private AdminClient client;

    Session(CommonOptions options, Environment environment, PrintStream out, PrintStream err) {
        this.options = options;
        this.environment = environment;
        this.settings = ToolSettings.load(options, environment);
        this.out = out;
        this.err = err;
    }

    Environment environment() {
        return environment;
    }

    ToolSettings settings() {
        return settings;
    }

    boolean isJson() {
        return settings.output().equals("json");
    }

    /** Returns the client, connecting with the operator's key. */
    AdminClient client() {
        if (client == null) {
            String trustFile = "";
            if (!settings.trustFile().isEmpty()) {
                Path path = environment.resolve(settings.trustFile());
                TextFiles.read(path, settings.trustFile());
                trustFile = path.toString();
            }
            client = new AdminClient(settings, trustFile, settings.operatorKey(options, environment));
        }
        return client;
    }

    /** Prints a line of the result, in text mode only. */
    void printLine(String format, Object... args) {
        if (!isJson()) {
            String text = args.length == 0 ? format : String.format(Locale.ROOT, format, args);
            out.println(printable(text).stripTrailing());
        }
    }

    /** Prints text as it is. */
    void printRaw(String text) {
        out.print(text);
    }

    /** Prints the result, in JSON mode only. */
    void printJson(Object value) {
        if (isJson()) {
            try {
                out.println(JSON.writeValueAsString(value));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("a result cannot be written as JSON", e);
            }
        }
    }

    /** Prints a line about the progress or a fault on the error stream. */
    void printNote(String text) {
        err.println(printable(text));
    }

    /** Prints the faults of a document on the error stream. */
    void printErrors(List<ConfigError> faults) {
        faults.forEach(fault -> printNote(fault.toString()));
    }

    /** Returns a time of a router, or a dash. */
    static String formatTime(long atMs) {
        return atMs == 0 ? "-" : Instant.ofEpochMilli(atMs).toString();
    }

    /** Replaces control characters, so that text from elsewhere cannot steer the terminal. */
    static String printable(String text) {
        StringBuilder clean = new StringBuilder(text.length());
        text.codePoints().forEach(c -> {
            int type = Character.getType(c);
            boolean isHidden = (type == Character.CONTROL && c != '\n') || type == Character.FORMAT;
            clean.appendCodePoint(isHidden ? '?' : c);
        });
        return clean.toString();
    }

    @Override
    public void close() {
        if (client != null) {
            client.close();
        }
    }
}
