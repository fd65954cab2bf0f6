package io.radishwinch.server;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** Forwards the connections to an engine, and closes each one with attempts as a further request arrives on it. */
final class AttemptCloser implements AutoCloseable {
    private static final String ATTEMPT = "POST /v1/attempts";
    private static final int BUFFER_BYTES = 64 << 10;

    /** Number of connections that were closed as a request arrived. */
    final AtomicInteger closedConnections = new AtomicInteger();

    /** Number of connections that the router or another engine has opened. */
    final AtomicInteger acceptedConnections = new AtomicInteger();

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final int enginePort;

    AttemptCloser(int enginePort) throws IOException {
        this.enginePort = enginePort;
        start(() -> {
            while (true) {
                Socket client = server.accept();
                acceptedConnections.incrementAndGet();
                start(() -> new Connection(client).forward());
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** A connection and the one that it is forwarded to. */
    private final class Connection {
        private final Socket client;
        private volatile boolean hasResponse;

        Connection(Socket client) {
            this.client = client;
        }

        void forward() throws IOException {
            try (client;
                    Socket engine = new Socket(InetAddress.getLoopbackAddress(), enginePort)) {
                start(() -> returnResponses(engine));
                forwardRequests(engine.getOutputStream());
            }
        }

        private void forwardRequests(OutputStream engine) throws IOException {
            InputStream in = client.getInputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            boolean isFirst = true;
            boolean hasAttempts = false;
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                hasAttempts |= isFirst && new String(buffer, 0, count, StandardCharsets.US_ASCII).startsWith(ATTEMPT);
                isFirst = false;
                if (hasAttempts && hasResponse) {
                    // Every second one is reset, as its socket then has a linger time of zero.
                    client.setSoLinger(closedConnections.incrementAndGet() % 2 == 0, 0);
                    return;
                }
                engine.write(buffer, 0, count);
            }
        }

        private void returnResponses(Socket engine) throws IOException {
            byte[] buffer = new byte[BUFFER_BYTES];
            InputStream in = engine.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                hasResponse = true;
                client.getOutputStream().write(buffer, 0, count);
            }
            client.close();
        }
    }

    private static void start(IoStep step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException e) {
                // One of the ends closed the connection.
                System.getLogger(AttemptCloser.class.getName()).log(System.Logger.Level.DEBUG, "closed", e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** A step that may fail because its socket was closed. */
    private interface IoStep {
        void run() throws IOException;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
