package io.radishwinch.report;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Builds HTML; escapes everything except markup from constants. */
final class Html {
    private final StringBuilder out = new StringBuilder(64 * 1024);

    /** Appends markup without escaping it; it must not contain text from data. */
    Html raw(String markup) {
        out.append(markup);
        return this;
    }

    /** Appends escaped text. */
    Html text(String text) {
        out.append(escape(text));
        return this;
    }

    /** Appends an element with escaped text. */
    Html element(String name, String text) {
        return raw("<" + name + ">").text(text).raw("</" + name + ">");
    }

    /** Appends an element with a CSS class and escaped text; the class must not come from data. */
    Html element(String name, String cssClass, String text) {
        return raw("<" + name + " class=\"" + cssClass + "\">").text(text).raw("</" + name + ">");
    }

    /** Appends a table cell with the column heading, which narrow screens show above the cell. */
    Html cell(String cssClass, String label, String text) {
        return raw("<td class=\"" + cssClass + "\" data-label=\"" + escape(label) + "\">")
                .text(text)
                .raw("</td>");
    }

    /** Escapes text for use in content and quoted attributes, and replaces control characters. */
    static String escape(String text) {
        String printable = ReportFormat.printable(text);
        StringBuilder escaped = new StringBuilder(printable.length() + 16);
        for (int i = 0; i < printable.length(); i++) {
            char c = printable.charAt(i);
            switch (c) {
                case '&' -> escaped.append("&amp;");
                case '<' -> escaped.append("&lt;");
                case '>' -> escaped.append("&gt;");
                case '"' -> escaped.append("&quot;");
                case '\'' -> escaped.append("&#39;");
                default -> escaped.append(c);
            }
        }
        return escaped.toString();
    }

    /**
     * Returns the content of a text file in the package of this class.
     *
     * @throws IllegalStateException if the file does not exist
     */
    static String resource(String name) {
        try (InputStream in = Html.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IllegalStateException("resource " + name + " not found in the package of the report");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public String toString() {
        return out.toString();
    }
}
