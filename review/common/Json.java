package review;

import java.util.LinkedHashMap;
import java.util.Map;

/** Minimal JSON reader that can also return the raw text of a member. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Returns the members of an object with the raw JSON text of their values. */
    static Map<String, String> members(String object) {
        Json json = new Json(object);
        json.skipSpace();
        if (json.at >= object.length() || object.charAt(json.at) != '{') {
            throw new IllegalArgumentException("not an object");
        }
        json.at++;
        Map<String, String> members = new LinkedHashMap<>();
        while (true) {
            json.skipSpace();
            if (object.charAt(json.at) == '}') {
                return members;
            }
            if (object.charAt(json.at) == ',') {
                json.at++;
                continue;
            }
            String name = unquote(json.rawValue());
            json.skipSpace();
            json.at++;
            members.put(name, json.rawValue());
        }
    }

    static String unquote(String raw) {
        return raw.substring(1, raw.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    private void skipSpace() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private String rawValue() {
        skipSpace();
        int start = at;
        int depth = 0;
        while (true) {
            char c = text.charAt(at);
            if (c == '"') {
                at++;
                while (text.charAt(at) != '"') {
                    at += text.charAt(at) == '\\' ? 2 : 1;
                }
                at++;
            } else if (c == '{' || c == '[') {
                depth++;
                at++;
            } else if (c == '}' || c == ']') {
                if (depth == 0) {
                    return text.substring(start, at).trim();
                }
                depth--;
                at++;
            } else if (depth == 0 && c == ',') {
                return text.substring(start, at).trim();
            } else {
                at++;
                if (depth == 0 && (at >= text.length() || ",}] \n\r\t".indexOf(text.charAt(at)) >= 0)) {
                    return text.substring(start, at).trim();
                }
                continue;
            }
            if (depth == 0) {
                return text.substring(start, at).trim();
            }
        }
    }
}
