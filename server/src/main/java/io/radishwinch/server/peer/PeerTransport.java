package io.radishwinch.server.peer;

import io.micrometer.core.instrument.Counter;
import io.radishwinch.cluster.OutgoingFrame;
import io.radishwinch.cluster.membership.Address;
import io.radishwinch.protocol.FrameCodec;
import io.radishwinch.protocol.FrameDecoder;
import io.radishwinch.protocol.FrameException;
import io.radishwinch.protocol.generated.Frame;
import io.radishwinch.server.metrics.RouterMetrics;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Sends and receives frames over TCP on the control thread. Delivery is not guaranteed: a frame is dropped when its
 * connection cannot be opened or its queue is full, and the protocols above repeat what matters.
 */
public final class PeerTransport {
    private static final System.Logger LOG = System.getLogger(PeerTransport.class.getName());

    /** Bytes that may wait for one connection; beyond this, frames to it are dropped. */
    private static final int MAX_QUEUED_BYTES = 4 * FrameCodec.MAX_FRAME_BYTES;

    private static final int CONNECT_TIMEOUT_MS = 1000;
    private static final int IDLE_TIMEOUT_S = 60;

    private final NetServer server;
    private final NetClient client;
    private final Consumer<Frame> receiver;
    private final Map<Address, Connection> connections = new HashMap<>();
    private final Counter sentBytes;
    private final Counter receivedBytes;
    private final Counter droppedFrames;
    private final Counter malformedFrames;
    private boolean isClosed;

    /**
     * Creates a transport.
     *
     * @param vertx Vert.x instance whose only event loop is the control thread
     * @param tls certificates for mutual TLS, or empty for plain TCP
     * @param receiver takes the frames that arrive, on the control thread
     */
    public PeerTransport(Vertx vertx, Optional<PeerTls> tls, RouterMetrics metrics, Consumer<Frame> receiver) {
        this.server = vertx.createNetServer(PeerTls.serverOptions(tls, IDLE_TIMEOUT_S));
        this.client = vertx.createNetClient(PeerTls.clientOptions(tls, CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_S));
        this.receiver = receiver;
        sentBytes = metrics.counter("radishwinch.peer.sent.bytes", "bytes sent to other routers");
        receivedBytes = metrics.counter("radishwinch.peer.received.bytes", "bytes received from other routers");
        droppedFrames = metrics.counter("radishwinch.peer.frames.dropped", "frames dropped for want of a connection");
        malformedFrames =
                metrics.counter("radishwinch.peer.frames.malformed", "connections closed for a malformed frame");
    }

    /** Starts to listen and returns the port. */
    public Future<Integer> listen(String host, int port) {
        return server.connectHandler(this::accept).listen(port, host).map(NetServer::actualPort);
    }

    /** Reads the TLS files again; new connections use them. */
    public Future<Boolean> reloadTls(PeerTls tls) {
        return server.updateSSLOptions(tls.reloadedServerOptions(), true)
                .compose(ignored -> client.updateSSLOptions(tls.reloadedClientOptions(), true));
    }

    /** Sends frames, in order for each receiver. */
    public void send(List<OutgoingFrame> frames) {
        for (OutgoingFrame outgoing : frames) {
            if (isClosed) {
                return;
            }
            try {
                byte[] bytes = FrameCodec.encode(outgoing.frame());
                connections
                        .computeIfAbsent(outgoing.destination(), Connection::new)
                        .send(Buffer.buffer(bytes));
            } catch (FrameException e) {
                droppedFrames.increment();
                LOG.log(System.Logger.Level.ERROR, "frame cannot be encoded: " + e.getMessage());
            }
        }
    }

    /** Closes all connections. */
    public Future<Void> close() {
        isClosed = true;
        connections.clear();
        return client.close().eventually(server::close);
    }

    private void accept(NetSocket socket) {
        FrameDecoder decoder = new FrameDecoder();
        socket.exceptionHandler(error -> socket.close());
        socket.handler(chunk -> {
            receivedBytes.increment(chunk.length());
            try {
                decoder.feed(chunk.getBytes(), 0, chunk.length()).forEach(receiver);
            } catch (FrameException e) {
                malformedFrames.increment();
                LOG.log(
                        System.Logger.Level.WARNING,
                        "closed connection from {0}: {1}",
                        socket.remoteAddress(),
                        e.getMessage());
                socket.close();
            }
        });
    }

    /** Connection to one router; frames wait while it is being opened. */
    private final class Connection {
        private final Address address;
        private final Buffer pendingBytes = Buffer.buffer();
        private NetSocket socket;

        Connection(Address address) {
            this.address = address;
            client.connect(address.port(), address.host()).onComplete(this::onConnected, error -> onConnectFailed());
        }

        void send(Buffer frame) {
            if (socket == null && pendingBytes.length() + frame.length() <= MAX_QUEUED_BYTES) {
                pendingBytes.appendBuffer(frame);
            } else if (socket != null && !socket.writeQueueFull()) {
                write(frame);
            } else {
                droppedFrames.increment();
            }
        }

        private void onConnected(NetSocket newSocket) {
            socket = newSocket;
            socket.setWriteQueueMaxSize(MAX_QUEUED_BYTES);
            socket.exceptionHandler(error -> socket.close());
            socket.closeHandler(ignored -> connections.remove(address, this));
            socket.handler(ignored -> {});
            write(pendingBytes.copy());
        }

        private void write(Buffer bytes) {
            sentBytes.increment(bytes.length());
            socket.write(bytes);
        }

        private void onConnectFailed() {
            if (pendingBytes.length() > 0) {
                droppedFrames.increment();
            }
            connections.remove(address, this);
        }
    }
}
