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
 * Sends and receives frames over TCP on the control thread. Delivery is not guaranteed: a frame is dropped if its
 * connection cannot be opened or the send queue is full. The protocols on top of this transport retransmit what they
 * need.
 */
public final class PeerTransport {
    private static final System.Logger LOG = System.getLogger(PeerTransport.class.getName());

    /** Maximum number of bytes queued for one connection; further frames to it are dropped. */
    private static final int MAX_QUEUED_BYTES = 2 * FrameCodec.MAX_FRAME_BYTES;

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
     * @param receiver receives incoming frames on the control thread
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

    /** Starts the server and returns its port. The future fails if the address is in use. */
    public Future<Integer> listen(String host, int port) {
        return server.connectHandler(this::accept).listen(port, host).map(NetServer::actualPort);
    }

    /** Reloads the TLS files. New connections use them. */
    public Future<Boolean> reloadTls(PeerTls tls) {
        return server.updateSSLOptions(tls.reloadedServerOptions(), true)
                .compose(ignored -> client.updateSSLOptions(tls.reloadedClientOptions(), true));
    }

    /** Sends frames, in order for each destination. Drops frames that cannot be sent. */
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
                LOG.log(System.Logger.Level.ERROR, "dropped a frame that cannot be encoded: " + e.getMessage());
            }
        }
    }

    /** Closes all connections and the server. */
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
                        "closed connection from peer {0} after a malformed frame: {1}",
                        socket.remoteAddress(),
                        e.getMessage());
                socket.close();
            }
        });
    }

    /** Outgoing connection to one router. Frames are queued until it is open. */
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
