package io.radishwinch.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayDeque;

/**
 * One-way stream of messages to another engine with delay and capacity: one long request that carries all attempts.
 *
 * <p>Messages of the same turn of the event loop are written together.
 */
final class StageLink {
    private static final long NS_PER_MS = 1_000_000;
    private static final int MAX_WAITING_MESSAGES = 100_000;

    private final Vertx vertx;
    private final Runnable onBroken;
    private final ArrayDeque<Message> waiting = new ArrayDeque<>();
    private EngineConfig.Link link;
    private HttpClientRequest request;
    private long freeAtNs;
    private boolean flushing;
    private boolean broken;

    StageLink(
            Vertx vertx,
            HttpClient client,
            StageAttempt.StageRef peer,
            String ownEndpoint,
            EngineConfig.Link link,
            Runnable onBroken) {
        this.vertx = vertx;
        this.link = link;
        this.onBroken = onBroken;
        RequestOptions target = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(peer.host())
                .setPort(peer.port())
                .setURI("/stand-in/stage-stream")
                .putHeader("X-From", ownEndpoint);
        client.request(target).onFailure(cause -> fail()).onSuccess(opened -> {
            if (broken) {
                opened.reset();
                return;
            }
            request = opened.setChunked(true);
            // The peer answers only when it ends the stream.
            opened.response().onComplete(ignored -> fail());
            opened.exceptionHandler(ignored -> fail());
            flushSoon();
        });
    }

    void setLink(EngineConfig.Link newLink) {
        link = newLink;
    }

    EngineConfig.Link link() {
        return link;
    }

    /** Sends a message that carries one token's activations. */
    void sendToken(Buffer message) {
        freeAtNs = Math.max(System.nanoTime(), freeAtNs) + (long) (1e9 / link.tokensPerS());
        enqueue(message, freeAtNs + link.delayUs() * 1_000);
    }

    /** Sends a control message, which takes no capacity but keeps its place in the order. */
    void send(Buffer message) {
        enqueue(message, System.nanoTime() + link.delayUs() * 1_000);
    }

    void close() {
        broken = true;
        waiting.clear();
        if (request != null) {
            request.reset();
        }
    }

    private void enqueue(Buffer message, long dueNs) {
        if (broken) {
            return;
        }
        if (waiting.size() >= MAX_WAITING_MESSAGES) {
            fail();
            return;
        }
        waiting.add(new Message(message, dueNs));
        flushSoon();
    }

    private void flushSoon() {
        if (!flushing && request != null) {
            flushing = true;
            vertx.runOnContext(ignored -> flush());
        }
    }

    private void flush() {
        flushing = false;
        if (broken) {
            return;
        }
        long now = System.nanoTime();
        Buffer out = Buffer.buffer();
        while (!waiting.isEmpty() && waiting.peek().dueNs - now < NS_PER_MS / 2) {
            out.appendBuffer(waiting.remove().bytes);
        }
        if (out.length() > 0) {
            request.write(out);
        }
        if (!waiting.isEmpty()) {
            flushing = true;
            long waitMs = Math.max(1, (waiting.peek().dueNs - now) / NS_PER_MS);
            vertx.setTimer(waitMs, id -> flush());
        }
    }

    private void fail() {
        if (!broken) {
            close();
            onBroken.run();
        }
    }

    /** A message and the time at which it leaves. */
    private record Message(Buffer bytes, long dueNs) {}
}
