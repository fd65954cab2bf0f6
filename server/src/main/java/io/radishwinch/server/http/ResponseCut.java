package io.radishwinch.server.http;

import io.radishwinch.core.model.Reason;
import io.vertx.core.http.HttpServerResponse;

/**
 * End of a caller's connection before the response to a request was written.
 *
 * @param requestId identifier of the request
 * @param reason why the response is incomplete
 * @param origin side that closed the connection
 * @param progress how far the response was
 * @param writtenBytes bytes of the response that were handed to the connection
 */
public record ResponseCut(String requestId, Reason reason, Origin origin, Progress progress, long writtenBytes) {

    /** Returns the end of a connection by its caller before a complete response was written. */
    public static ResponseCut unwritten(String requestId, Reason reason, HttpServerResponse response) {
        return new ResponseCut(requestId, reason, Origin.CALLER, Progress.UNWRITTEN, response.bytesWritten());
    }

    /** Returns this end with the stop of the router as its origin. */
    public ResponseCut byStop() {
        return new ResponseCut(requestId, reason, Origin.STOP, progress, writtenBytes);
    }

    /** Side that closed a connection. */
    public enum Origin {
        /** This router, because no other response can follow what was sent. */
        ROUTER("router"),
        /** The caller, or a failure of the network. */
        CALLER("caller"),
        /** This router, because its time to stop was over. */
        STOP("stop");

        private final String wireName;

        Origin(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name used in log lines. */
        public String wireName() {
            return wireName;
        }
    }

    /** Progress of a response. */
    public enum Progress {
        /** Nothing was sent. */
        NOT_STARTED("not-started"),
        /** The head was sent. */
        STARTED("started"),
        /** The response was complete, but not written to the connection. */
        UNWRITTEN("unwritten");

        private final String wireName;

        Progress(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name used in log lines. */
        public String wireName() {
            return wireName;
        }
    }
}
