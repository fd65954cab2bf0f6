package io.radishwinch.server.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Response head as docs/decisions/0020-strict-http.md defines it, read by regular expressions.
 *
 * @param headers names in lower case and values, separated by a colon, in the order of the names
 * @param body what of the bytes after the head belongs to the body, or empty if they are chunks
 */
record ReferenceHead(int status, List<String> headers, Optional<String> body) {
    private static final String TEXT = "[\\t\\x20-\\x7e\\x80-\\xff]*";
    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final Pattern HEAD = Pattern.compile("(?:\r\n)*HTTP/1\\.([0-9]) ([1-5][0-9]{2})(?: (" + TEXT
            + "))?\r\n((?:" + TOKEN + "[ \t]*:" + TEXT + "\r\n(?:[ \t]" + TEXT + "\r\n)*)*)\r\n");
    private static final Pattern HEADER =
            Pattern.compile("(" + TOKEN + ")[ \t]*:(" + TEXT + "(?:\r\n[ \t]" + TEXT + ")*)\r\n");
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    /** Reads a head at the beginning of the bytes, each a character; returns empty if there is no valid one. */
    static Optional<ReferenceHead> read(String bytes) {
        Matcher head = HEAD.matcher(bytes);
        if (!head.lookingAt()
                || head.group(2).equals("101")
                || STATUS_LINE.matcher(String.valueOf(head.group(3))).find()) {
            return Optional.empty();
        }
        List<String> headers = new ArrayList<>();
        List<String> lengths = new ArrayList<>();
        List<String> codings = new ArrayList<>();
        Matcher header = HEADER.matcher(head.group(4));
        while (header.find()) {
            String name = header.group(1).toLowerCase(Locale.ROOT);
            String raw = header.group(2);
            String value = strip(raw.lines()
                    .map(ReferenceHead::strip)
                    .reduce((one, two) -> one + " " + two)
                    .orElse(""));
            boolean isEmptyAndFolded = raw.matches("[ \t]*\r\n(?s:.*)");
            if (isEmptyAndFolded || STATUS_LINE.matcher(raw).find()) {
                return Optional.empty();
            }
            headers.add(name + ":" + value);
            if (name.equals("content-length")) {
                lengths.add(raw.contains("\r") ? "folded" : value);
            } else if (name.equals("transfer-encoding")) {
                codings.add(raw.contains("\r") ? "folded" : value.toLowerCase(Locale.ROOT));
            }
        }
        boolean isFramingValid = lengths.size() + codings.size() <= 1
                && lengths.stream().allMatch(length -> length.matches("[0-9]{1,18}"))
                && codings.stream()
                        .allMatch(coding ->
                                coding.equals("chunked") && !head.group(1).equals("0"));
        if (!isFramingValid) {
            return Optional.empty();
        }
        int status = Integer.parseInt(head.group(2));
        // The decoder drops the coding of a response without a body.
        headers.removeIf(line -> hasNoBody(status) && line.startsWith("transfer-encoding:"));
        String rest = bytes.substring(head.end());
        headers.replaceAll(ReferenceHead::normalize);
        return Optional.of(new ReferenceHead(status, byName(headers), body(status, lengths, codings, rest)));
    }

    private static boolean hasNoBody(int status) {
        return status < 200 || status == 204 || status == 304;
    }

    private static Optional<String> body(int status, List<String> lengths, List<String> codings, String rest) {
        if (hasNoBody(status)) {
            return Optional.of("");
        }
        if (!codings.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                lengths.isEmpty()
                        ? rest
                        : rest.substring(0, (int) Math.min(rest.length(), Long.parseLong(lengths.get(0)))));
    }

    /** Returns the headers by name; the order of those with different names has no meaning (RFC 9110, section 5.3). */
    static List<String> byName(List<String> headers) {
        return headers.stream()
                .sorted(Comparator.comparing(header -> header.substring(0, header.indexOf(':'))))
                .toList();
    }

    private static String normalize(String header) {
        return header.replaceFirst("^(content-length:)0+(?=[0-9])", "$1");
    }

    /** Returns a value without the blanks around it, which are no part of it (RFC 9110, section 5.5). */
    static String strip(String text) {
        return text.replaceAll("^[ \t]+|[ \t]+$", "");
    }
}
