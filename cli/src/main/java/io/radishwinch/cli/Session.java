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

/** Context of one command run: settings, output, and a client that is created on first use. */
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

    /**
     * Returns the client, which authenticates with the operator's key.
     *
     * @throws CliException if no router or key is given
     */
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

    /** Prints a line of the result in text mode; does nothing in JSON mode. */
    void printLine(String format, Object... args) {
        if (!isJson()) {
            String text = args.length == 0 ? format : String.format(Locale.ROOT, format, args);
            out.println(printable(text).stripTrailing());
        }
    }

    /** Prints text without formatting and without replacing control characters. */
    void printRaw(String text) {
        out.print(text);
    }

    /** Prints the result in JSON mode; does nothing in text mode. */
    void printJson(Object value) {
        if (isJson()) {
            try {
                out.println(JSON.writeValueAsString(value));
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("cannot write the result as JSON", e);
            }
        }
    }

    /** Prints a progress line, warning or error to standard error. */
    void printNote(String text) {
        err.println(printable(text));
    }

    /** Prints the errors of a document to standard error. */
    void printErrors(List<ConfigError> errors) {
        errors.forEach(error -> printNote(error.toString()));
    }

    /** Formats a time in ms since the epoch, or returns a dash for 0. */
    static String formatTime(long atMs) {
        return atMs == 0 ? "-" : Instant.ofEpochMilli(atMs).toString();
    }

    /** Replaces control and format characters, which could inject terminal commands; keeps line breaks. */
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
