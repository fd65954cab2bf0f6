package io.radishwinch.server.proxy;

import io.radishwinch.http.ResponseRule;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.Optional;

/**
 * How the response of an endpoint to one attempt ended.
 *
 * @param epoch number of the attempt
 * @param endpointId endpoint that received the request
 * @param status HTTP status, or 0 if no response head arrived
 * @param framing what marks the end of the response
 * @param eventCount complete events of the response that were forwarded
 * @param cause why the response ended
 * @param detail description of the failure, or an empty string
 * @param carrier connection over which the response came
 */
public record ResponseEnd(
        int epoch,
        String endpointId,
        int status,
        Framing framing,
        int eventCount,
        Cause cause,
        String detail,
        Carrier carrier) {

    private static final int FIRST_ERROR = 400;

    /** What marks the end of a response (RFC 9112, section 6.3). */
    public enum Framing {
        /** No response head arrived. */
        NONE("none"),
        /** The response declares its length. */
        LENGTH("length"),
        /** The response ends with its last chunk. */
        CHUNKED("chunked"),
        /** The response ends when its connection is closed. */
        CONNECTION("connection");

        private final String wireName;

        Framing(String wireName) {
            this.wireName = wireName;
        }

        /** Returns what marks the end of a response with these headers. */
        static Framing of(MultiMap headers) {
            if (headers.contains(HttpHeaders.TRANSFER_ENCODING, HttpHeaders.CHUNKED, true)) {
                return CHUNKED;
            }
            return headers.contains(HttpHeaders.CONTENT_LENGTH) ? LENGTH : CONNECTION;
        }

        /** Returns the name in logs. */
        public String wireName() {
            return wireName;
        }
    }

    /**
     * Connection of a response, and what attributes the response to its request.
     *
     * @param connectionId number of the connection among those to all endpoints, or 0 if there was none
     * @param requestNumber number of the request on its connection, from 1
     * @param isIdentified whether the response names its request
     * @param surplusResponses responses to other requests that were dropped before the response
     * @param brokenRule rule of HTTP that the response breaks, which ended the connection
     */
    public record Carrier(
            long connectionId,
            int requestNumber,
            boolean isIdentified,
            int surplusResponses,
            Optional<ResponseRule> brokenRule) {
        /** The attempt ended before it had a connection. */
        public static final Carrier NONE = new Carrier(0, 0, false, 0);

        /** Creates a carrier of a response that breaks no rule. */
        public Carrier(long connectionId, int requestNumber, boolean isIdentified, int surplusResponses) {
            this(connectionId, requestNumber, isIdentified, surplusResponses, Optional.empty());
        }

        /**
         * Returns the numbers of the connection and of the request on it, as in {@code 17/3}, followed by
         * {@code identified} if the response names its request; {@code none} without a connection.
         */
        public String describe() {
            if (connectionId == 0) {
                return "none";
            }
            return connectionId + "/" + requestNumber + (isIdentified ? " identified" : "");
        }
    }

    /** Why a response ended. */
    public enum Cause {
        /** The response ended as its framing says. */
        COMPLETE("complete"),
        /** The endpoint stated that it did not run the request. */
        REFUSED("refused"),
        /** The connection failed, or the request did not reach the endpoint. */
        CONNECTION_FAILED("connection-failed"),
        /** The response cannot be attributed to the endpoint. */
        UNSEALED("unsealed"),
        /** The router cancelled the attempt. */
        CANCELLED("cancelled"),
        /** The response does not continue the stream that the caller is reading. */
        UNEXPECTED("unexpected"),
        /** The response ended inside an event or before its first one. */
        PARTIAL("partial"),
        /** An event exceeded the maximum size. */
        OVERSIZED("oversized");

        private final String wireName;

        Cause(String wireName) {
            this.wireName = wireName;
        }

        /** Returns the name in logs and metrics. */
        public String wireName() {
            return wireName;
        }
    }

    /** Returns whether this is a complete response to a first attempt without an error status or surplus responses. */
    public boolean isOrdinary() {
        return cause == Cause.COMPLETE && epoch == 1 && status < FIRST_ERROR && carrier.surplusResponses == 0;
    }
}
