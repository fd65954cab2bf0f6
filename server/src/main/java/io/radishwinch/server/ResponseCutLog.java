package io.radishwinch.server;

import io.radishwinch.server.http.ResponseCut;

/** Logs the connections of callers that end without a complete response, within a limit of its own. */
public final class ResponseCutLog {
    private final StructuredLog.LineLimit limit;

    /** Creates a log. */
    public ResponseCutLog(StructuredLog log) {
        this.limit = log.limit("cut-lines-suppressed");
    }

    /** Logs a response that is incomplete; safe for use by any thread. */
    public void log(ResponseCut cut) {
        limit.write(() -> LogFields.of("response-cut")
                .with("id", cut.requestId())
                .with("reason", cut.reason().wireName())
                .with("origin", cut.origin().wireName())
                .with("progress", cut.progress().wireName())
                .with("bytes", cut.writtenBytes()));
    }
}
