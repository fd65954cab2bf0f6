package io.radishwinch.server.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Endpoint that refuses the first request of most connections and closes each connection around the arrival of a
 * request: before it, at its first byte, or behind it, in turn.
 */
final class ClosingEndpoint implements AutoCloseable {
    /** Refusal of a model engine in the response to an attempt of the fixture, which keeps the connection. */
    static final String ENGINE_REFUSAL = "{\"type\":\"error\",\"request\":\"" + ExchangeFixture.REQUEST_ID
            + "\",\"epoch\":%s,\"endpoint\":\"e\",\"verdict\":\"not-run\",\"detail\":\"d\"}\n";

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    ClosingEndpoint() throws IOException {
        start(this::acceptAll);
    }

    /** Moment at which a connection is closed. */
    private enum Moment {
        ON_ACCEPT,
        AFTER_RESPONSE,
        AT_FIRST_BYTE,
        RESET_AT_FIRST_BYTE,
        AFTER_REQUEST
    }

    int port() {
        return server.getLocalPort();
    }

    private void acceptAll() throws IOException {
        for (int i = 0; true; i++) {
            Socket socket = server.accept();
            Moment moment = Moment.values()[i % Moment.values().length];
            start(() -> {
                try (socket) {
                    serve(socket, moment);
                }
            });
        }
    }

    private static void start(IoStep step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException e) {
                // The router or the test closed the connection.
                System.getLogger(ClosingEndpoint.class.getName()).log(System.Logger.Level.DEBUG, "closed", e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A step that may fail because its socket was closed. */
    private interface IoStep {
        void run() throws IOException;
    }

    private static void serve(Socket socket, Moment moment) throws IOException {
        if (moment == Moment.ON_ACCEPT) {
            return;
        }
        InputStream in = socket.getInputStream();
        String request = readRequest(in);
        if (request.startsWith("POST /v1/attempts")) {
            String epoch = request.replaceAll("(?s).*\"epoch\":(\\d+).*", "$1");
            String body = ENGINE_REFUSAL.formatted(epoch);
            String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            if (moment == Moment.AFTER_RESPONSE) {
                return;
            }
            in.read();
            if (moment == Moment.AFTER_REQUEST) {
                readRequest(in);
            }
        }
        socket.setSoLinger(moment == Moment.RESET_AT_FIRST_BYTE, 0);
    }

    private static String readRequest(InputStream in) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection ended inside a head: " + request);
            }
            request.append((char) next);
        }
        for (String line : request.toString().toLowerCase(Locale.ROOT).split("\r\n")) {
            if (line.startsWith("content-length:")) {
                int bodyBytes =
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
                request.append(new String(in.readNBytes(bodyBytes), StandardCharsets.UTF_8));
            }
        }
        return request.toString();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
