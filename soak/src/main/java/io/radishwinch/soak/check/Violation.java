package io.radishwinch.soak.check;

import io.radishwinch.soak.CallerRecord;

/**
 * A broken promise.
 *
 * @param promise promise in one sentence
 * @param request request for which it was broken
 * @param detail what was found
 */
public record Violation(String promise, CallerRecord request, String detail) {}
