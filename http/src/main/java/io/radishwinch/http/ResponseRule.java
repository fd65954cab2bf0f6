package io.radishwinch.http;

/** Rule of HTTP/1.1 that a response can break, after which it and its connection cannot be used. */
public enum ResponseRule {
    /** The status line is {@code HTTP/1.x}, a space, the status, and a reason phrase (RFC 9112, section 4). */
    STATUS_LINE("status-line"),
    /** A status has three digits and is from 100 to 599 (RFC 9110, section 15). */
    STATUS("status"),
    /** Only a request that asks for it is followed by another protocol (RFC 9110, section 7.8). */
    UPGRADE("upgrade"),
    /** Lines end with CR LF (RFC 9112, section 2.2). */
    LINE_END("line-end"),
    /** A header line is a name, a colon, and a value (RFC 9112, section 5). */
    HEADER_LINE("header-line"),
    /** Values and reason phrases contain no control characters (RFC 9110, section 5.5). */
    CONTROL_CHARACTER("control-character"),
    /** No line contains the beginning of another response. */
    SECOND_HEAD("second-head"),
    /** A length is stated once, in decimal digits (RFC 9110, section 8.6). */
    CONTENT_LENGTH("content-length"),
    /** The only transfer coding is {@code chunked}, in HTTP/1.1 and without a length (RFC 9112, section 6.1). */
    TRANSFER_ENCODING("transfer-encoding"),
    /** The size of a head is bounded. */
    SIZE("size"),
    /** Chunks and trailers are as RFC 9112, section 7.1 says. */
    BODY("body");

    private final String wireName;

    ResponseRule(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the name in logs and metrics. */
    public String wireName() {
        return wireName;
    }
}
