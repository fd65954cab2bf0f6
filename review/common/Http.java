package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages over plain sockets. */
final class Http {
    private Http() {}

    /** Head of a message: the first line and the headers, whose names are in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        String method() {
            return line.split(" ")[0];
        }

        String target() {
            return line.split(" ")[1];
        }
    }

    /** A complete response, or status 0 and the reason if none arrived. */
    record Response(int status, Head head, byte[] body, String failure) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Returns the head of the next message, or null if the connection ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        return new Head(line, headers);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.header("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("inside a chunked body");
                }
                int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                body.write(readExactly(in, length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        String length = head.header("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("inside a body");
        }
        return bytes;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Sends one request on a new channel and reads the response. */
    static Response call(String host, int port, String head, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            OutputStream out = socket.getOutputStream();
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.write(head.getBytes(StandardCharsets.ISO_8859_1));
            message.write(body);
            out.write(message.toByteArray());
            out.flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Head response = readHead(in);
            if (response == null) {
                return new Response(0, null, new byte[0], "channel closed without an answer");
            }
            return new Response(response.status(), response, readBody(in, response), "");
        } catch (IOException | RuntimeException e) {
            return new Response(0, null, new byte[0], e.toString());
        }
    }
}
