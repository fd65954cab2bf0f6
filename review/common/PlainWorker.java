package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Stand-in for a worker of a plain service; a case overrides {@link #serve} to make it misbehave. */
class PlainWorker {
    final String id;
    final String host;
    final ServerSocket server;

    PlainWorker(String id, String host) throws IOException {
        this.id = id;
        this.host = host;
        this.server = new ServerSocket(0, 1_000, InetAddress.getByName(host));
        Threads.start("worker " + id, this::accept);
    }

    String address() {
        return host + ":" + server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("channel of " + id, () -> read(new Channel(socket)));
        }
    }

    /** One channel of a caller. */
    static final class Channel {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        /** Bytes that a faulty worker sends late, where the next answer is expected. */
        String late = "";

        Channel(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }
    }

    private void read(Channel channel) throws Exception {
        try (channel.socket) {
            for (Http.Head head = Http.readHead(channel.in); head != null; head = Http.readHead(channel.in)) {
                byte[] body = Http.readBody(channel.in, head);
                String expected = head.header("Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    Http.write(channel.out, "HTTP/1.1 421 X\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else if (head.header("Attempt-Id").isEmpty()) {
                    Http.write(channel.out, "HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                } else {
                    serve(channel, head, body);
                }
            }
        }
    }

    /** Runs a request and answers it. */
    void serve(Channel channel, Http.Head head, byte[] body) throws Exception {
        Thread.sleep(20);
        answer(channel, head);
    }

    /** Answers with success, seal and identifier. */
    void answer(Channel channel, Http.Head head) throws IOException {
        String text = "done by " + id + " for " + head.header("Attempt-Id");
        Http.write(
                channel.out,
                "HTTP/1.1 200 OK\r\nAttempt-Id: " + head.header("Attempt-Id") + "\r\nResponse-Seal: s." + id
                        + "\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }
}
