package io.radishwinch.core.model;

import java.util.List;

/**
 * Properties of a plain service to which the router forwards HTTP calls.
 *
 * @param name name in the path {@code /services/<name>/...}
 * @param timeoutMs timeout of one call, in ms
 * @param operations operations that override whether a call is repeatable; a call that matches none is repeatable if
 *     its method is idempotent
 */
public record ServiceSpec(String name, long timeoutMs, List<Operation> operations) {

    /** Copies the operations. */
    public ServiceSpec {
        operations = List.copyOf(operations);
    }

    /**
     * Rule for the calls that match a method and a path prefix.
     *
     * @param method HTTP method in upper case, or {@code *}
     * @param pathPrefix prefix of the path after the service name, starting with a slash
     * @param isRepeatable whether a call may be retried
     */
    public record Operation(String method, String pathPrefix, boolean isRepeatable) {}

    /**
     * Returns whether a call may be retried. The operation with the longest matching prefix decides; without a match,
     * calls with an idempotent method (RFC 9110 section 9.2.2) are repeatable.
     */
    public boolean isRepeatable(String method, String path) {
        Operation best = null;
        for (Operation operation : operations) {
            boolean matches =
                    (operation.method().equals("*") || operation.method().equals(method))
                            && path.startsWith(operation.pathPrefix());
            if (matches
                    && (best == null
                            || operation.pathPrefix().length()
                                    > best.pathPrefix().length())) {
                best = operation;
            }
        }
        return best == null ? isIdempotentMethod(method) : best.isRepeatable();
    }

    private static boolean isIdempotentMethod(String method) {
        return switch (method) {
            case "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE" -> true;
            default -> false;
        };
    }
}
