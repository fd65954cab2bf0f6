package io.radishwinch.standins;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayDeque;

/**
 * One-way message stream to another engine with a simulated delay and throughput.
 *
 * <p>One streaming HTTP request carries the messages of all attempts. Messages that are due in the same iteration of
 * the event loop are written together. A failed link stays closed. Not thread-safe.
 */
final class StageLink {
    private static final long NS_PER_MS = 1_000_000;
    private static final int MAX_QUEUED_MESSAGES = 100_000;

    private final Vertx vertx;
    private final Runnable failureListener;
    private final ArrayDeque<Message> queuedMessages = new ArrayDeque<>();
    private EngineConfig.Link link;
    private HttpClientRequest request;
    private long freeAtNs;
    private boolean isFlushScheduled;
    private boolean hasFailed;

    StageLink(
            Vertx vertx,
            HttpClient client,
            StageAttempt.StageRef peer,
            String localEndpoint,
            EngineConfig.Link link,
            Runnable failureListener) {
        this.vertx = vertx;
        this.link = link;
        this.failureListener = failureListener;
        RequestOptions target = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(peer.host())
                .setPort(peer.port())
                .setURI("/stand-in/stage-stream")
                .putHeader("X-From", localEndpoint);
        client.request(target).onFailure(cause -> fail()).onSuccess(opened -> {
            if (hasFailed) {
                opened.reset();
                return;
            }
            request = opened.setChunked(true);
            // The peer sends its response only at the end of the stream.
            opened.response().onComplete(ignored -> fail());
            opened.exceptionHandler(ignored -> fail());
            scheduleFlush();
        });
    }

    void setLink(EngineConfig.Link newLink) {
        link = newLink;
    }

    EngineConfig.Link link() {
        return link;
    }

    /** Sends a message that stands for the activations of one token and uses the throughput of the link. */
    void sendToken(Buffer message) {
        freeAtNs = Math.max(System.nanoTime(), freeAtNs) + (long) (1e9 / link.tokensPerS());
        enqueue(message, freeAtNs + link.delayUs() * 1_000);
    }

    /** Sends a control message, in order with the other messages but without using the throughput of the link. */
    void send(Buffer message) {
        enqueue(message, System.nanoTime() + link.delayUs() * 1_000);
    }

    void close() {
        hasFailed = true;
        queuedMessages.clear();
        if (request != null) {
            request.reset();
        }
    }

    private void enqueue(Buffer message, long sendAtNs) {
        if (hasFailed) {
            return;
        }
        if (queuedMessages.size() >= MAX_QUEUED_MESSAGES) {
            fail();
            return;
        }
        queuedMessages.add(new Message(message, sendAtNs));
        scheduleFlush();
    }

    private void scheduleFlush() {
        if (!isFlushScheduled && request != null) {
            isFlushScheduled = true;
            vertx.runOnContext(ignored -> flush());
        }
    }

    private void flush() {
        isFlushScheduled = false;
        if (hasFailed) {
            return;
        }
        long nowNs = System.nanoTime();
        Buffer out = Buffer.buffer();
        while (!queuedMessages.isEmpty() && queuedMessages.peek().sendAtNs - nowNs < NS_PER_MS / 2) {
            out.appendBuffer(queuedMessages.remove().bytes);
        }
        if (out.length() > 0) {
            request.write(out);
        }
        if (!queuedMessages.isEmpty()) {
            isFlushScheduled = true;
            long waitMs = Math.max(1, (queuedMessages.peek().sendAtNs - nowNs) / NS_PER_MS);
            vertx.setTimer(waitMs, id -> flush());
        }
    }

    private void fail() {
        if (!hasFailed) {
            close();
            failureListener.run();
        }
    }

    /** A message and the time at which it is sent, in ns of {@link System#nanoTime}. */
    private record Message(Buffer bytes, long sendAtNs) {}
}
