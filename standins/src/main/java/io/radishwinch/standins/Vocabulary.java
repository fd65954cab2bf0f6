package io.radishwinch.standins;

import java.nio.charset.StandardCharsets;

/** Generates the tokens of the engine stand-ins as a pure function of the prompt and the position. */
public final class Vocabulary {
    private static final String[] WORDS = {
        "sleep", "strip", "night", "breath", "calm", "quiet", "snore", "nose", "rest", "morning", "renewal", "order",
        "ship", "box", "boot", "dryer", "heat", "snow", "kiosk", "rental", "term", "damage", "clerk", "winter",
        "slope", "token", "layer", "stage", "plan", "reply", "note", "month"
    };

    private Vocabulary() {}

    /** Returns the token at a position of the completion of a prompt. */
    public static String token(String prompt, int position) {
        return token(seed(prompt), position);
    }

    /** Returns the first tokens of the completion of a prompt as one text. */
    public static String completion(String prompt, int tokens) {
        long seed = seed(prompt);
        StringBuilder text = new StringBuilder();
        for (int position = 0; position < tokens; position++) {
            text.append(token(seed, position));
        }
        return text.toString();
    }

    static String token(long seed, int position) {
        return " " + WORDS[(int) (mix(seed + position) >>> 59)];
    }

    /** Returns the 64-bit FNV-1a hash of a prompt, mixed with SplitMix64. */
    static long seed(String prompt) {
        long hash = 0xcbf29ce484222325L;
        for (byte b : prompt.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /** Applies the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
    private static long mix(long value) {
        long z = value + 0x9e3779b97f4a7c15L;
        z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
