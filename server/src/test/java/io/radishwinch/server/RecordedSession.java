package io.radishwinch.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.IntConsumer;

/**
 * Sends raw HTTP requests as one caller and records a transcript without identifiers and times, which differ between
 * runs.
 */
final class RecordedSession {
    private static final int READ_TIMEOUT_MS = 30_000;
    private static final List<String> SHOWN_HEADERS = List.of(
            "content-type",
            "retry-after",
            "x-radishwinch-verdict",
            "x-radishwinch-reason",
            "x-radishwinch-replayed",
            "www-authenticate");

    private final int port;
    private final StringBuilder text = new StringBuilder();

    RecordedSession(int port) {
        this.port = port;
    }

    static String completion(String prompt, int maxTokens, boolean stream) {
        return "{\"model\":\"" + TestDeployment.MODEL + "\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens
                + ",\"stream\":" + stream + "}";
    }

    /** Adds a comment line to the transcript. */
    void note(String line) {
        text.append("# ").append(line).append('\n');
    }

    /** Sends a POST request with the caller's key and records it together with its response. */
    String post(String path, String body, String... headers) throws IOException {
        return post(path, body, size -> {}, headers);
    }

    /** Sends a POST request and passes the number of received stream events to the listener after each read. */
    String post(String path, String body, IntConsumer listener, String... headers) throws IOException {
        StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: router\r\nConnection: close\r\n");
        head.append("Authorization: Bearer ").append(TestDeployment.KEY).append("\r\n");
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        head.append("Content-Length: ").append(bytes.length).append("\r\n");
        for (String header : headers) {
            head.append(header).append("\r\n");
        }
        text.append("> POST ").append(path).append('\n');
        for (String header : headers) {
            text.append("> ").append(shorten(header)).append('\n');
        }
        text.append("> ").append(shorten(body)).append('\n');
        return raw(concat(head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8), bytes), listener);
    }

    private static String shorten(String line) {
        return line.length() > 300 ? line.substring(0, 20) + "... (" + line.length() + " bytes)" : line;
    }

    /** Sends bytes unchanged and records the response. */
    String raw(byte[] request, IntConsumer listener) throws IOException {
        String response = exchange(request, listener);
        record(response);
        return response;
    }

    int statusOf(String path, String body) {
        try {
            String response = new RecordedSession(port).post(path, body);
            return Integer.parseInt(response.substring(9, 12));
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    private String exchange(byte[] request, IntConsumer listener) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            InputStream in = socket.getInputStream();
            byte[] chunk = new byte[8192];
            for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
                all.write(chunk, 0, n);
                listener.accept(all.toString(StandardCharsets.UTF_8).split("data: ", -1).length - 1);
            }
            return all.toString(StandardCharsets.UTF_8);
        }
    }

    private void record(String response) {
        int end = response.indexOf("\r\n\r\n");
        String[] lines = response.substring(0, Math.max(0, end)).split("\r\n");
        text.append("< ").append(lines[0].replace("HTTP/1.1 ", "")).append('\n');
        boolean isChunked = false;
        for (String line : lines) {
            String name = line.split(":", 2)[0].toLowerCase(Locale.ROOT);
            isChunked |= line.toLowerCase(Locale.ROOT).equals("transfer-encoding: chunked");
            if (SHOWN_HEADERS.contains(name)) {
                text.append("< ")
                        .append(name)
                        .append(line.substring(name.length()))
                        .append('\n');
            }
        }
        String body = end < 0 ? "" : response.substring(end + 4);
        text.append(scrub(isChunked ? unchunk(body) : body)).append("\n\n");
    }

    private static String unchunk(String body) {
        return body.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", "");
    }

    private static String scrub(String body) {
        return body.replaceAll("[0-9a-f]{32}", "ID").replaceAll("\"created\":\\d+", "\"created\":0");
    }

    private static byte[] concat(byte[] first, byte[] second) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(first);
        all.writeBytes(second);
        return all.toByteArray();
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
