package io.radishwinch.server.engine;

import java.util.List;
import java.util.stream.Stream;

/** Heads of responses that are none, up to their identifier or length, and bodies of malformed chunks. */
public final class MalformedHeads {
    /** Status lines whose status has another form, or another range, than RFC 9110, section 15, allows. */
    private static final List<String> STATUSES = List.of(
            "000", "001", "099", "20", "600", "999", "1000", "200200", "0200", "+200", "-20", "2x0", "200OK", "");

    private static final List<String> STATUS_LINES = List.of(
            "HTTP/1.10 200 OK",
            "HTTP/1.1x 200 OK",
            "HTTP/01.1 200 OK",
            "HTTP/2.0 200 OK",
            "http/1.1 200 OK",
            " HTTP/1.1 200 OK",
            "\0HTTP/1.1 200 OK",
            "HTTP/1.1  200 OK",
            "HTTP/1.1\t200 OK",
            "HTTP/1.1 200\tOK",
            "HTTP/1.1 200 O\0K",
            "HTTP/1.1 200 O\rK",
            "HTTP/1.1 200 O\u007fK",
            "HTTP/1.1 101 Switching Protocols",
            "HTTP/1.1 200 OK\n");

    private static final List<String> HEADERS = List.of(
            "more bytes",
            ": value",
            "na me: value",
            "na\tme : value",
            "name\0: value",
            "Name: va\0lue",
            "Name: va\rlue",
            "Name: va\u0001lue",
            "Content-Length: +2",
            "Content-Length: 0x2",
            "Content-Length: -2",
            "Content-Length:",
            "Content-Length: 2 2",
            "Content-Length: 2, 2",
            "Content-Length: 2\r\nContent-Length: 3",
            "Content-Length: 2\r\n 3",
            "Content-Length: 99999999999999999999",
            "Content-Length: 2\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: xchunked",
            "Name: value\nOther: value");

    private MalformedHeads() {}

    /** Returns heads with a malformed status line. */
    public static Stream<String> statusLines() {
        return Stream.concat(STATUSES.stream().map(status -> "HTTP/1.1 " + status + " OK"), STATUS_LINES.stream())
                .map(line -> line + "\r\n");
    }

    /** Returns heads with a malformed header. */
    public static Stream<String> headers() {
        return Stream.concat(
                Stream.of("HTTP/1.1 200 OK\r\n folded\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"),
                HEADERS.stream().map(header -> "HTTP/1.1 200 OK\r\n" + header + "\r\n"));
    }

    /** Returns bodies with malformed chunk sizes, chunks or trailers. */
    public static Stream<String> chunks() {
        Stream<String> sizes = Stream.of(
                "", "+2", "-2", "0x2", " 2", "2 2", "2\0", "\0002", "2x", "2;\1", "100000002", "10000000000000002");
        Stream<String> ends = Stream.of(
                "2\nab\r\n0\r\n\r\n",
                "2\r\nab\n0\r\n\r\n",
                "2\r\nabX\r\n0\r\n\r\n",
                "0\r\nno colon\r\n\r\n",
                "0\r\n: value\r\n\r\n",
                "0\r\n folded\r\n\r\n",
                "0\r\nName: \0\r\n\r\n");
        return Stream.concat(sizes.map(size -> size + "\r\nab\r\n0\r\n\r\n"), ends);
    }
}
