package io.radishwinch.server.proxy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Endpoint on loopback that gives each request the next of some responses. Before every response but the first one of a
 * connection, it sends the previous one a second time.
 */
final class RepeatingEndpoint implements AutoCloseable {
    private final ServerSocket server;
    private final Iterator<String> responses;

    /** Number of connections that the endpoint accepted. */
    final AtomicInteger connections = new AtomicInteger();

    RepeatingEndpoint(List<String> responses) {
        this.responses = responses.iterator();
        try {
            server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            connections.incrementAndGet();
            start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            String previous = "";
            while (true) {
                ScriptedEndpoint.readHead(socket);
                String response = nextResponse();
                socket.getOutputStream().write((previous + response).getBytes(StandardCharsets.US_ASCII));
                previous = response;
            }
        }
    }

    private synchronized String nextResponse() {
        return responses.next();
    }

    /** A task of the endpoint, which ends when its socket is closed. */
    private interface SocketTask {
        void run() throws IOException;
    }

    private static void start(SocketTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        System.getLogger(RepeatingEndpoint.class.getName())
                                .log(System.Logger.Level.DEBUG, "socket closed", e);
                    }
                },
                "repeating-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
