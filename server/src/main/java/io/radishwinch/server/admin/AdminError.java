package io.radishwinch.server.admin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Error response of the operators' interface.
 *
 * @param status HTTP status
 * @param code machine-readable error code, for example {@code conflict}
 * @param message human-readable description of the error
 * @param hint suggested remedy, or an empty string
 * @param details further fields of the error object
 */
record AdminError(int status, String code, String message, String hint, Map<String, Object> details) {

    static AdminError of(int status, String code, String message, String hint) {
        return new AdminError(status, code, message, hint, Map.of());
    }

    static AdminError notFound(String what, String hint) {
        return of(404, "not-found", what, hint);
    }

    AdminError withDetail(String name, Object value) {
        Map<String, Object> copy = new LinkedHashMap<>(details);
        copy.put(name, value);
        return new AdminError(status, code, message, hint, copy);
    }

    /** Returns the response body, {@code {"error": {...}}}. */
    Map<String, Object> body() {
        Map<String, Object> error = new LinkedHashMap<>();
        error.put("code", code);
        error.put("message", message);
        error.put("hint", hint);
        List<String> names = new ArrayList<>(details.keySet());
        names.forEach(name -> error.put(name, details.get(name)));
        return Map.of("error", error);
    }
}
