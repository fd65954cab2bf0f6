package io.radishwinch.report;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/** Builds HTML in which all text from data is escaped. */
final class Html {
    private final StringBuilder out = new StringBuilder(64 * 1024);

    /** Appends markup that contains no text from data. */
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

    /** Appends an element of a class with escaped text; the class is no text from data. */
    Html element(String name, String cssClass, String text) {
        return raw("<" + name + " class=\"" + cssClass + "\">").text(text).raw("</" + name + ">");
    }

    /** Appends a table cell with the heading that narrow screens show above it. */
    Html cell(String cssClass, String label, String text) {
        return raw("<td class=\"" + cssClass + "\" data-label=\"" + escape(label) + "\">")
                .text(text)
                .raw("</td>");
    }

    /** Returns text that is safe in content and in quoted attributes, without control characters. */
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

    /** Returns a text file that is packaged beside this class. */
    static String resource(String name) {
        try (InputStream in = Html.class.getResourceAsStream(name)) {
            if (in == null) {
                throw new IllegalStateException("the resource " + name + " is missing from the package");
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
