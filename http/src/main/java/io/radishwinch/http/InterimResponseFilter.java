package io.radishwinch.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;

/**
 * Drops interim responses, which the final response follows (RFC 9110, section 15.2). A Vert.x client takes those other
 * than 100 and 103 for the response.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {

    /** Number of interim responses in a row above which the connection is closed. */
    private static final int MAX_INTERIM_RESPONSES = 32;

    private int interimResponses;

    @Override
    public void channelRead(ChannelHandlerContext handler, Object message) {
        if (message instanceof HttpResponse response) {
            boolean isInterim = response.decoderResult().isSuccess()
                    && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            interimResponses = isInterim ? interimResponses + 1 : 0;
        }
        if (interimResponses == 0) {
            handler.fireChannelRead(message);
            return;
        }
        ReferenceCountUtil.release(message);
        if (interimResponses > MAX_INTERIM_RESPONSES) {
            handler.fireExceptionCaught(new MalformedResponseException(
                    ResponseRule.SIZE, "more than " + MAX_INTERIM_RESPONSES + " interim responses", null));
            handler.close();
        }
    }
}
