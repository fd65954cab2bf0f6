package io.radishwinch.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** HTTP/1.1 codec of a Vert.x client, which decodes responses with a {@link StrictResponseDecoder}. */
public final class StrictClientCodec extends CombinedChannelDuplexHandler<StrictResponseDecoder, HttpRequestEncoder> {
    private static final System.Logger LOG = System.getLogger(StrictClientCodec.class.getName());

    private final Queue<HttpMethod> pendingMethods = new ArrayDeque<>();

    private StrictClientCodec(HttpDecoderConfig config) {
        init(new Decoder(config), new Encoder());
    }

    /**
     * Replaces the codec of a new HTTP/1.1 connection of a client, whose failures are logged. A request whose response
     * breaks a rule fails with a {@link MalformedResponseException}.
     *
     * @param options options of the client, which limit the sizes of a response
     */
    public static void install(HttpConnection connection, HttpClientOptions options) {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setMaxInitialLineLength(options.getMaxInitialLineLength())
                .setMaxHeaderSize(options.getMaxHeaderSize())
                .setMaxChunkSize(options.getMaxChunkSize());
        connection.exceptionHandler(cause -> LOG.log(
                System.Logger.Level.INFO,
                "connection to {0} failed: {1}",
                connection.remoteAddress(),
                cause.getMessage()));
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        pipeline.replace(HttpClientCodec.class, "codec", new StrictClientCodec(config));
        pipeline.addAfter("codec", "interim", new InterimResponseFilter());
    }

    /** Records the methods of requests, which the framing of their responses depends on. */
    private final class Encoder extends HttpRequestEncoder {
        @Override
        protected void encode(ChannelHandlerContext handler, Object message, List<Object> out) throws Exception {
            if (message instanceof HttpRequest request) {
                pendingMethods.add(request.method());
            }
            super.encode(handler, message, out);
        }
    }

    /** Decodes the responses in the order of the requests. */
    private final class Decoder extends StrictResponseDecoder {
        Decoder(HttpDecoderConfig config) {
            super(config);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean isInterim = message instanceof HttpResponse response
                    && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            HttpMethod method = isInterim ? null : pendingMethods.poll();
            return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
        }
    }
}
