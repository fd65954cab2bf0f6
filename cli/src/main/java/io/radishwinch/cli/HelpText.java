package io.radishwinch.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.Parameters;
import java.util.Comparator;
import java.util.Locale;

/** Renders the help of commands from their annotations. */
final class HelpText {
    private static final int MAX_LINE_CHARS = 96;
    private static final int OPTION_COLUMN_CHARS = 20;

    private HelpText() {}

    /** Returns one line with the name and description of a command. */
    static String line(String name, JCommander parser) {
        return String.format(Locale.ROOT, "  %-20s %s%n", name, description(parser));
    }

    /** Returns the help of one command. */
    static String command(String name, JCommander parser) {
        StringBuilder text = new StringBuilder("Usage: " + name + " [OPTIONS]");
        if (parser.getMainParameterValue() != null) {
            text.append(' ').append(parser.getMainParameterValue().getDescription());
        }
        text.append("\n\n").append(description(parser)).append(".\n\nOptions:\n");
        parser.getParameters().stream()
                .sorted(Comparator.comparing(ParameterDescription::getLongestName))
                .forEach(option -> appendOption(text, option));
        return text.toString();
    }

    private static String description(JCommander parser) {
        return parser.getObjects()
                .get(0)
                .getClass()
                .getAnnotation(Parameters.class)
                .commandDescription();
    }

    private static void appendOption(StringBuilder text, ParameterDescription option) {
        StringBuilder line = new StringBuilder(
                String.format(Locale.ROOT, "  %-" + (OPTION_COLUMN_CHARS - 2) + "s", option.getLongestName()));
        for (String word : option.getDescription().split(" ")) {
            if (line.length() + 1 + word.length() > MAX_LINE_CHARS) {
                text.append(line).append('\n');
                line = new StringBuilder(" ".repeat(OPTION_COLUMN_CHARS));
            }
            line.append(' ').append(word);
        }
        text.append(line).append('\n');
    }
}
