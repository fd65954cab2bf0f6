package io.radishwinch.server.engine;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Endpoint on loopback that responds to each request with the next of some responses. If a connection is used again, a
 * second copy of its last response precedes the response to the new request, unless the endpoint sends no copies.
 */
public final class RepeatingEndpoint implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final Queue<String> responses;
    private final boolean sendsCopies;

    /** Number of connections that the endpoint has accepted. */
    public final AtomicInteger acceptedConnections = new AtomicInteger();

    /** One permit for each connection that the client has closed. */
    public final Semaphore closedConnections = new Semaphore(0);

    /** Starts an endpoint whose responses each consist of a status and a body, separated by a space. */
    public RepeatingEndpoint(String... statusesAndBodies) throws IOException {
        this(Arrays.stream(statusesAndBodies).map(RepeatingEndpoint::toResponse).toList());
    }

    /** Starts an endpoint whose responses are given as they are sent. */
    public RepeatingEndpoint(List<String> responses) throws IOException {
        this(responses, true);
    }

    /** Starts an endpoint whose responses are given as they are sent. */
    public RepeatingEndpoint(List<String> responses, boolean sendsCopies) throws IOException {
        this.sendsCopies = sendsCopies;
        this.responses = new ArrayDeque<>(responses);
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                acceptedConnections.incrementAndGet();
                start(() -> serve(socket));
            }
        });
    }

    /** Returns a response without identifiers, given its status and its body, separated by a space. */
    public static String toResponse(String statusAndBody) {
        String[] parts = statusAndBody.split(" ", 2);
        return "HTTP/1.1 " + parts[0] + " \r\nContent-Type: application/json\r\nContent-Length: " + parts[1].length()
                + "\r\n\r\n" + parts[1];
    }

    /** Returns the port at which the endpoint listens. */
    public int port() {
        return server.getLocalPort();
    }

    private synchronized String nextResponse() {
        return responses.remove();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            String last = "";
            while (readRequest(socket.getInputStream())) {
                String next = nextResponse();
                socket.getOutputStream().write((last + next).getBytes(StandardCharsets.US_ASCII));
                last = sendsCopies ? next : "";
            }
            closedConnections.release();
        }
    }

    /** Reads a request with its body, and returns false at the end of the connection. */
    private static boolean readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        for (String line : head.toString().toLowerCase(Locale.ROOT).split("\r\n")) {
            if (line.startsWith("content-length:")) {
                in.readNBytes(
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).trim()));
            }
        }
        return true;
    }

    private static void start(IoStep step) {
        Thread thread = new Thread(() -> {
            try {
                step.run();
            } catch (IOException e) {
                // The test or the client closed the connection.
                System.getLogger(RepeatingEndpoint.class.getName()).log(System.Logger.Level.DEBUG, "endpoint ended", e);
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
