package io.radishwinch.server.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.radishwinch.http.MalformedResponseException;
import io.radishwinch.http.ResponseRule;
import io.radishwinch.http.StrictResponseDecoder;
import io.radishwinch.server.Failures;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import io.vertx.core.internal.net.NetSocketInternal;
import java.util.List;
import java.util.Optional;

/**
 * HTTP/1.1 connection to an endpoint, which carries one request at a time.
 *
 * <p>HTTP/1.1 matches responses to requests by their order. A second copy of the response to another request, of this
 * or another connection, would take the place of the response to the current request, and says nothing about the
 * latter; nor does another response to an earlier run of it. Such a response is therefore dropped as it arrives,
 * however long it takes within the time of the request, and the one after it is read. It is passed on instead if its
 * end cannot be found: if only the end of the connection delimits it, and in response to a {@code HEAD} request.
 * Confined to one traffic thread.
 */
final class EndpointConnection {
    private static final System.Logger LOG = System.getLogger(EndpointConnection.class.getName());

    /** Size of the bodies of the surplus responses before a response above which the connection is closed, in bytes. */
    private static final int MAX_SURPLUS_BYTES = 16 << 20;

    /** Number of interim and surplus responses before a response above which the connection is closed. */
    private static final int MAX_SKIPPED_RESPONSES = 32;

    /** Time in which more of a surplus response must arrive, in ms. */
    private static final long MAX_SURPLUS_PAUSE_MS = 1_000;

    private static final int MAX_INITIAL_LINE_BYTES = 4 << 10;
    private static final int MAX_HEADER_BYTES = 64 << 10;
    private static final int MAX_CHUNK_BYTES = 8 << 10;
    private static final long NO_TIMER = -1;
    private static final String UNEXPECTED_BYTES = "unexpected bytes after a response";

    private final Vertx vertx;
    private final NetSocketInternal socket;
    private final ResponseDecoder decoder;
    private final String requestIdHeader;
    private final Runnable onSurplus;
    private final Runnable onClosed;
    private Reading reading = Reading.NOTHING;
    private HttpMethod method;
    private String requestId = "";
    private Listener listener;
    private boolean isKeptAlive;
    private int skippedResponses;
    private int surplusResponses;
    private int surplusBytes;
    private int checkedSurplusBytes;
    private long surplusTimerId = NO_TIMER;
    private Optional<ResponseRule> brokenRule = Optional.empty();
    private boolean isClosed;

    /** What the next bytes from the endpoint belong to. */
    private enum Reading {
        /** No request is waiting for a response. */
        NOTHING,
        HEAD,
        INTERIM_RESPONSE,
        SURPLUS_RESPONSE,
        BODY
    }

    /** Receives the response to one request. No event follows {@link #onEnd} or {@link #onFailure}. */
    interface Listener {

        /** Returns whether a response that names no other request does not belong to this run of the request. */
        boolean isSurplus(int status, MultiMap headers);

        /** Called for the head of the response; interim responses are skipped. */
        void onResponseHead(int status, MultiMap headers);

        /** Called for each chunk of the body. */
        void onBodyChunk(Buffer chunk);

        /** Called when the response is complete; the connection can then carry another request. */
        void onEnd();

        /** Called when the connection ends before the response does. */
        void onFailure(String message);
    }

    /**
     * Creates a connection over a connected socket.
     *
     * @param requestIdHeader name of the header that names a request and its response
     * @param onSurplus called for each response that belongs to another request or run, and for bytes that belong to
     *     none
     * @param onClosed called once when the connection is closed by either side
     */
    EndpointConnection(
            Vertx vertx, NetSocketInternal socket, String requestIdHeader, Runnable onSurplus, Runnable onClosed) {
        this.vertx = vertx;
        this.socket = socket;
        this.requestIdHeader = requestIdHeader;
        this.onSurplus = onSurplus;
        this.onClosed = onClosed;
        ChannelHandlerContext handler = socket.channelHandlerContext();
        this.decoder = new ResponseDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES));
        handler.pipeline().addBefore(handler.name(), "encoder", new HttpRequestEncoder());
        handler.pipeline().addBefore(handler.name(), "decoder", decoder);
        socket.messageHandler(this::read);
        socket.exceptionHandler(cause -> onSocketEnd(Failures.describe(cause)));
        socket.closeHandler(ignored -> onSocketEnd("connection closed"));
    }

    /**
     * Decodes responses; those to a {@code HEAD} request have no body, whatever their headers say. Bytes that no
     * request has asked for end the connection. The decoder would keep them until a line is complete, and read the next
     * response as their continuation.
     */
    private final class ResponseDecoder extends StrictResponseDecoder {

        ResponseDecoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        public void channelRead(ChannelHandlerContext handler, Object message) throws Exception {
            if (reading == Reading.NOTHING) {
                ReferenceCountUtil.release(message);
                closeBecauseOfSurplusBytes();
            } else {
                super.channelRead(handler, message);
            }
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }
    }

    /** Returns whether no request can be sent any more; the close may be reported to the connection only later. */
    boolean isClosed() {
        return isClosed || !socket.channelHandlerContext().channel().isActive();
    }

    /** Returns whether the endpoint keeps the connection open after the last response. */
    boolean isKeptAlive() {
        return isKeptAlive;
    }

    /** Closes the connection because bytes were received after the last response. */
    void closeBecauseOfSurplusBytes() {
        LOG.log(
                System.Logger.Level.INFO,
                "connection to {0} is closed, because bytes that belong to no response follow request {1} on it",
                socket.remoteAddress(),
                requestId);
        onSurplus.run();
        close();
    }

    /** Returns whether the connection is open and nothing has been received since the end of the last response. */
    boolean isIdle() {
        return !isClosed && !decoder.hasBegunResponse();
    }

    /** Returns the number of responses to other requests that were dropped since the last request was sent. */
    int surplusResponses() {
        return surplusResponses;
    }

    /** Returns the rule that a response broke, which ended the connection. */
    Optional<ResponseRule> brokenRule() {
        return brokenRule;
    }

    /**
     * Sends a request. The connection must be open and must not be waiting for a response.
     *
     * @param sentRequestId identifier of the request
     * @return future that completes when the request is written
     */
    Future<Void> send(FullHttpRequest request, String sentRequestId, Listener responseListener) {
        requestId = sentRequestId;
        method = request.method();
        listener = responseListener;
        skippedResponses = 0;
        surplusResponses = 0;
        surplusBytes = 0;
        reading = Reading.HEAD;
        return socket.writeMessage(request).onFailure(cause -> fail(Failures.describe(cause)));
    }

    /**
     * Encodes a request for this connection.
     *
     * @throws IllegalArgumentException if a header cannot be sent
     */
    FullHttpRequest encode(UpstreamCall.OutgoingRequest outgoing) {
        Buffer body = outgoing.body();
        ByteBuf content = Unpooled.unreleasableBuffer(((BufferInternal) body).getByteBuf());
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, outgoing.method().toNetty(), outgoing.uri(), content);
        outgoing.headers().forEach((name, value) -> request.headers().add(name, value));
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, socket.remoteAddress().toString());
        }
        if (body.length() > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length());
        }
        return request;
    }

    /** Stops reading. Chunks that were received before may still be passed on. */
    void pause() {
        socket.pause();
    }

    void resume() {
        socket.resume();
    }

    /** Closes the connection. Neither {@link Listener#onEnd} nor {@link Listener#onFailure} follows. */
    void close() {
        listener = null;
        fail("closed by this router");
    }

    /** Passes on what was received before the end while reading was paused. */
    private void onSocketEnd(String message) {
        socket.resume();
        fail(message);
    }

    private void read(Object message) {
        try {
            if (isClosed) {
                return;
            }
            if (!(message instanceof HttpObject part)) {
                fail(UNEXPECTED_BYTES);
                return;
            }
            if (part.decoderResult().isFailure()) {
                onMalformedResponse(part.decoderResult().cause());
                return;
            }
            if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (message instanceof HttpContent content && !isClosed) {
                readContent(content);
            }
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "response to request " + requestId + " cannot be handled", e);
            fail("response cannot be handled: " + Failures.describe(e));
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onMalformedResponse(Throwable cause) {
        if (cause instanceof MalformedResponseException malformed) {
            brokenRule = Optional.of(malformed.rule());
        }
        fail(Failures.describe(cause));
    }

    private void readHead(HttpResponse response) {
        if (reading != Reading.HEAD) {
            fail(UNEXPECTED_BYTES);
        } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            reading = Reading.INTERIM_RESPONSE;
            skip();
        } else {
            readFinalHead(response);
        }
    }

    private void readFinalHead(HttpResponse response) {
        int status = response.status().code();
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        response.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        boolean isSurplus = namesAnotherRequest(response) || listener.isSurplus(status, headers);
        if (isSurplus && !HttpMethod.HEAD.equals(method) && isDelimited(response)) {
            onSurplus.run();
            reading = Reading.SURPLUS_RESPONSE;
            surplusResponses++;
            checkedSurplusBytes = surplusBytes;
            surplusTimerId = vertx.setPeriodic(MAX_SURPLUS_PAUSE_MS, ignored -> checkSurplus());
            skip();
        } else {
            reading = Reading.BODY;
            isKeptAlive = HttpUtil.isKeepAlive(response);
            listener.onResponseHead(status, headers);
        }
    }

    private void skip() {
        if (++skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail("too many interim or surplus responses");
        }
    }

    private boolean namesAnotherRequest(HttpResponse response) {
        List<String> ids = response.headers().getAll(requestIdHeader);
        return !ids.contains(requestId) && ids.stream().anyMatch(id -> !id.isEmpty());
    }

    private static boolean isDelimited(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response)
                || HttpUtil.isTransferEncodingChunked(response)
                || response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
    }

    private void readContent(HttpContent content) {
        boolean isEnd = content instanceof LastHttpContent;
        if (reading == Reading.BODY) {
            readBody(content.content());
            if (isEnd && !isClosed) {
                endResponse();
            }
            return;
        }
        surplusBytes += content.content().readableBytes();
        if (surplusBytes > MAX_SURPLUS_BYTES) {
            fail("surplus responses are too long");
        } else if (isEnd) {
            cancelSurplusTimer();
            reading = Reading.HEAD;
        }
    }

    private void readBody(ByteBuf bytes) {
        if (bytes.isReadable()) {
            listener.onBodyChunk(Buffer.buffer(ByteBufUtil.getBytes(bytes)));
        }
    }

    private void endResponse() {
        Listener ended = listener;
        listener = null;
        reading = Reading.NOTHING;
        socket.resume();
        ended.onEnd();
    }

    private void fail(String message) {
        if (isClosed) {
            return;
        }
        isClosed = true;
        cancelSurplusTimer();
        // Messages that were received while reading was paused are released when they are read.
        socket.resume();
        socket.close();
        onClosed.run();
        if (listener != null) {
            Listener failed = listener;
            listener = null;
            failed.onFailure(message);
        }
    }

    /** Ends the connection if nothing of a surplus response has arrived since the last check. */
    private void checkSurplus() {
        if (surplusBytes == checkedSurplusBytes) {
            fail("a surplus response does not end");
        }
        checkedSurplusBytes = surplusBytes;
    }

    private void cancelSurplusTimer() {
        if (surplusTimerId != NO_TIMER) {
            vertx.cancelTimer(surplusTimerId);
            surplusTimerId = NO_TIMER;
        }
    }
}
