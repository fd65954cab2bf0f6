package io.radishwinch.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes responses whose heads and chunks satisfy the grammar. Netty's decoder accepts others as well, and then reads
 * a status, or an end of the body, that the endpoint did not send.
 *
 * <p>A response that breaks a rule is passed on as a message whose decoder result has a
 * {@link MalformedResponseException}. All bytes after it are dropped, because its end is unknown.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {
    private final ResponseHeadValidator head;
    private final ChunkedBodyValidator chunks = new ChunkedBodyValidator();
    private Reading reading = Reading.HEAD;

    /** What the next bytes belong to. */
    private enum Reading {
        HEAD,
        BODY,
        NOTHING
    }

    /** Creates a decoder with these limits of sizes. */
    public StrictResponseDecoder(HttpDecoderConfig config) {
        super(config.clone().setStrictLineParsing(true).setAllowDuplicateContentLengths(false));
        this.head = new ResponseHeadValidator(config.getMaxInitialLineLength() + config.getMaxHeaderSize());
    }

    @Override
    protected final void decode(ChannelHandlerContext handler, ByteBuf buffer, List<Object> out) throws Exception {
        try {
            if (reading == Reading.HEAD) {
                if (!head.isComplete(buffer)) {
                    return;
                }
                reading = Reading.BODY;
                chunks.start();
                super.decode(handler, buffer, out);
            } else if (reading == Reading.BODY && head.isChunked()) {
                chunks.check(buffer);
                int lengthBefore = buffer.readableBytes();
                super.decode(handler, buffer, out);
                chunks.onConsumed(lengthBefore - buffer.readableBytes());
            } else if (reading == Reading.BODY) {
                super.decode(handler, buffer, out);
            }
        } catch (MalformedResponseException e) {
            HttpObject malformed = reading == Reading.HEAD
                    ? createInvalidMessage()
                    : new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
            malformed.setDecoderResult(DecoderResult.failure(e));
            out.add(malformed);
            reading = Reading.NOTHING;
        }
        if (reading == Reading.NOTHING) {
            buffer.skipBytes(buffer.readableBytes());
        } else if (!out.isEmpty() && out.get(out.size() - 1) instanceof HttpObject last) {
            onDecoded(last);
        }
    }

    private void onDecoded(HttpObject last) {
        Throwable cause = last.decoderResult().cause();
        if (cause != null) {
            ResponseRule rule = last instanceof HttpResponse ? ResponseRule.HEADER_LINE : ResponseRule.BODY;
            last.setDecoderResult(
                    DecoderResult.failure(new MalformedResponseException(rule, cause.getMessage(), cause)));
            reading = Reading.NOTHING;
        } else if (last instanceof LastHttpContent) {
            reading = Reading.HEAD;
        }
    }

    /** Returns whether bytes have arrived that follow the last complete response. */
    public final boolean hasBegunResponse() {
        return reading != Reading.HEAD || actualReadableBytes() > 0;
    }
}
