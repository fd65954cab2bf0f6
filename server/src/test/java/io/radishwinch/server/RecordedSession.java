package io.radishwinch.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.function.IntConsumer;

/** Raw HTTP exchanges of one caller and their transcript, without identifiers and times that differ between runs. */
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

    /** Writes a line into the transcript. */
    void note(String line) {
        text.append("# ").append(line).append('\n');
    }

    /** Sends a POST with the caller's key and records it. */
    String post(String path, String body, String... headers) throws IOException {
        return post(path, body, size -> {}, headers);
    }

    /** Sends a POST and tells the listener of the number of stream events received after each read. */
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

    /** Sends bytes as they are and records the answer. */
    String raw(byte[] request, IntConsumer listener) throws IOException {
        String answer = exchange(request, listener);
        record(answer);
        return answer;
    }

    int statusOf(String path, String body) {
        try {
            String answer = new RecordedSession(port).post(path, body);
            return Integer.parseInt(answer.substring(9, 12));
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

    private void record(String answer) {
        int end = answer.indexOf("\r\n\r\n");
        String[] lines = answer.substring(0, Math.max(0, end)).split("\r\n");
        text.append("< ").append(lines[0].replace("HTTP/1.1 ", "")).append('\n');
        boolean chunked = false;
        for (String line : lines) {
            String name = line.split(":", 2)[0].toLowerCase(Locale.ROOT);
            chunked |= line.toLowerCase(Locale.ROOT).equals("transfer-encoding: chunked");
            if (SHOWN_HEADERS.contains(name)) {
                text.append("< ")
                        .append(name)
                        .append(line.substring(name.length()))
                        .append('\n');
            }
        }
        String body = end < 0 ? "" : answer.substring(end + 4);
        text.append(scrub(chunked ? unchunk(body) : body)).append("\n\n");
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
