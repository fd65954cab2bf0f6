package io.radishwinch.cli.log;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Separates the output of several processes that was captured in one file, with the time and the name of the process
 * before each chunk. A chunk may begin and end within a line; the next prefix then stands on the same line. Text before
 * the first prefix belongs to the file itself, so that a plain log passes unchanged.
 */
final class CapturedOutput {
    /** A prefix, such as {@code 14.2203 front-zone-1}. */
    private static final Pattern PREFIX = Pattern.compile("(?:^ *| {1,4})-?\\d+\\.\\d{4} ([A-Za-z][\\w.-]*) ");

    /** Start of a whole line of a process, which shows that the word before it is the name of one. */
    private static final String LINE_START = "{\"time\":";

    private final String file;
    private final BiConsumer<String, String> receiver;
    private final Map<String, StringBuilder> startedLines = new LinkedHashMap<>();
    private String source;

    /**
     * Creates a reader of one file.
     *
     * @param receiver receives the name of the file or {@code file/process}, and a whole line
     */
    CapturedOutput(String file, BiConsumer<String, String> receiver) {
        this.receiver = receiver;
        this.source = file;
        this.file = file;
        startedLines.put(file, new StringBuilder());
    }

    /** Reads the next line of the file. */
    void read(String text) {
        Matcher prefix = PREFIX.matcher(text);
        int from = 0;
        while (prefix.find()) {
            String process = file + "/" + prefix.group(1);
            if (startedLines.containsKey(process) || text.startsWith(LINE_START, prefix.end())) {
                startedLines.get(source).append(text, from, prefix.start());
                source = process;
                startedLines.putIfAbsent(source, new StringBuilder());
                from = prefix.end();
            }
        }
        startedLines.get(source).append(text, from, text.length());
        passLine(source);
    }

    /** Passes the lines that the end of the file breaks off. */
    void end() {
        startedLines.forEach((name, line) -> {
            if (!line.isEmpty()) {
                passLine(name);
            }
        });
    }

    private void passLine(String name) {
        StringBuilder line = startedLines.get(name);
        String text = line.toString();
        line.setLength(0);
        receiver.accept(name, text);
    }
}
