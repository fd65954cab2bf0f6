package io.radishwinch.report;

import java.time.Instant;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Formats numbers, times and names for the reports. */
final class ReportFormat {
    private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("HH:mm", Locale.ROOT);
    private static final DateTimeFormatter TIME_S = DateTimeFormatter.ofPattern("HH:mm:ss", Locale.ROOT);

    private ReportFormat() {}

    static String count(long number) {
        return String.format(Locale.ROOT, "%,d", number);
    }

    static String count(long number, String singular) {
        return count(number) + " " + (number == 1 ? singular : singular + "s");
    }

    /** Returns a share from 0 to 1 in percent, rounded down so that less than 100% is never shown as 100%. */
    static String percent(double share) {
        double tenths = Math.floor(share * 1000 + 1e-9);
        return String.format(Locale.ROOT, tenths % 10 == 0 ? "%.0f%%" : "%.1f%%", tenths / 10);
    }

    static String ms(double valueMs) {
        if (valueMs >= 10_000) {
            return String.format(Locale.ROOT, "%.0f s", valueMs / 1000);
        }
        return valueMs >= 1000
                ? String.format(Locale.ROOT, "%.2f s", valueMs / 1000)
                : String.format(Locale.ROOT, "%.0f ms", valueMs);
    }

    static String duration(long durationMs) {
        long seconds = Math.round(durationMs / 1000.0);
        if (seconds < 120) {
            return seconds + " s";
        }
        long minutes = Math.round(seconds / 60.0);
        if (minutes < 120) {
            return minutes + " min";
        }
        return String.format(Locale.ROOT, minutes % 60 == 0 ? "%.0f h" : "%.1f h", minutes / 60.0);
    }

    static String rate(double tokensPerS) {
        return String.format(Locale.ROOT, tokensPerS < 10 ? "%.1f tokens/s" : "%,.0f tokens/s", tokensPerS);
    }

    static String time(long atMs, ZoneId zone) {
        return TIME.format(Instant.ofEpochMilli(atMs).atZone(zone));
    }

    static String timeWithSeconds(long atMs, ZoneId zone) {
        return TIME_S.format(Instant.ofEpochMilli(atMs).atZone(zone));
    }

    /** Returns the end time of a period, and 24:00 for the end of the day. */
    static String endTime(long atMs, DaySlots day) {
        return atMs >= day.endMs() ? "24:00" : time(atMs, day.zone());
    }

    /** Returns a name with a capital letter and spaces, for example {@code Account action}. */
    static String title(String wireName) {
        return wireName.substring(0, 1).toUpperCase(Locale.ROOT)
                + wireName.substring(1).replace('-', ' ');
    }

    /** Replaces control, format and surrogate characters, which could inject terminal commands or hide text. */
    static String printable(String text) {
        StringBuilder out = new StringBuilder(text.length());
        text.codePoints().forEach(c -> {
            int type = Character.getType(c);
            boolean isHidden = type == Character.CONTROL || type == Character.FORMAT || type == Character.SURROGATE;
            out.appendCodePoint(isHidden ? '?' : c);
        });
        return out.toString();
    }
}
