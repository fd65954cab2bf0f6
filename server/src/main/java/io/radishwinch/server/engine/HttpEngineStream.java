package io.radishwinch.server.engine;

import io.radishwinch.core.model.LayerRange;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.Failures;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.function.LongSupplier;

/** Stream of an attempt over HTTP; one Vert.x context owns all state. */
final class HttpEngineStream implements EngineStream {
    private static final int HTTP_OK = 200;

    private final Vertx vertx;
    private final Context context;
    private final AttemptRequest attempt;
    private final ClientOptions options;
    private final LongSupplier clockMs;
    private final StreamCounters counters;
    private final Receiver receiver;
    private final List<LayerRange> chainLayers;
    private final LineSplitter splitter;
    private HttpClientRequest request;
    private HttpClientResponse response;
    private boolean isEnded;
    private boolean isAccepted;
    private boolean isPaused;
    private int nextSequence;
    private long lastReadMs;
    private long deadlineTimer = -1;
    private long idleTimer = -1;

    HttpEngineStream(
            Vertx vertx,
            AttemptRequest attempt,
            ClientOptions options,
            LongSupplier clockMs,
            StreamCounters counters,
            Receiver receiver) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.attempt = attempt;
        this.options = options;
        this.clockMs = clockMs;
        this.counters = counters;
        this.receiver = receiver;
        this.chainLayers = attempt.stages().stream()
                .map(AttemptRequest.StageTarget::layers)
                .toList();
        this.splitter = new LineSplitter(options.maxLineBytes(), this::onLine);
        this.nextSequence = attempt.delivered().size();
    }

    void start(HttpClient client) {
        // Deferred, so that the caller has a reference to the stream before the first event arrives.
        context.runOnContext(ignored -> runOrFail(() -> open(client)));
    }

    /** Runs a part of the attempt, which fails at once instead of at a timeout if an exception ends the part. */
    private void runOrFail(Runnable part) {
        try {
            part.run();
        } catch (RuntimeException e) {
            fail(Reason.STAGE_DIED, "attempt cannot be sent: " + Failures.describe(e));
        }
    }

    @Override
    public void pause() {
        runOnContext(() -> {
            isPaused = true;
            if (response != null && !isEnded) {
                response.pause();
            }
        });
    }

    @Override
    public void resume() {
        runOnContext(() -> {
            isPaused = false;
            lastReadMs = clockMs.getAsLong();
            if (response != null && !isEnded) {
                response.resume();
            }
        });
    }

    @Override
    public void cancel() {
        runOnContext(this::close);
    }

    private void open(HttpClient client) {
        if (isEnded) {
            return;
        }
        long nowMs = clockMs.getAsLong();
        long remainingMs = attempt.deadlineMs() - nowMs;
        if (remainingMs <= 0) {
            fail(Reason.DEADLINE_UNREACHABLE, "deadline expired before the attempt was sent");
            return;
        }
        deadlineTimer = vertx.setTimer(
                remainingMs, id -> fail(Reason.DEADLINE_EXCEEDED, "deadline expired during the attempt"));
        lastReadMs = nowMs;
        scheduleIdleCheck(options.idleTimeoutMs());
        EndpointAddress firstStage = attempt.firstStage();
        RequestOptions target = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(firstStage.host())
                .setPort(firstStage.port())
                .setURI("/v1/attempts")
                .putHeader("Content-Type", "application/json");
        HttpRequests.open(client, target)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "failed to connect: " + Failures.describe(cause)))
                .onSuccess(opened -> runOrFail(() -> sendRequest(opened)));
    }

    private void sendRequest(HttpClientRequest opened) {
        if (isEnded) {
            opened.reset();
            return;
        }
        request = opened;
        opened.exceptionHandler(cause -> fail(Reason.STAGE_DIED, "connection failed: " + Failures.describe(cause)));
        opened.response()
                .onSuccess(this::onResponse)
                .onFailure(cause -> fail(Reason.STAGE_DIED, "connection failed: " + Failures.describe(cause)));
        opened.end(EngineJson.encodeAttempt(attempt, clockMs.getAsLong()));
    }

    private void onResponse(HttpClientResponse received) {
        if (isEnded) {
            return;
        }
        response = received;
        if (received.statusCode() != HTTP_OK) {
            boolean isNotRun = "true".equalsIgnoreCase(received.getHeader(HttpExchange.NOT_RUN_HEADER));
            stopTimers();
            // A refusal does not name its attempt, so a second copy of it must not reach the next one.
            request.connection().close();
            receiver.handle(new EngineEvent.Failed(
                    attempt.firstStage().endpointId(),
                    Reason.ENDPOINT_REFUSED,
                    isNotRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                    "unexpected HTTP status " + received.statusCode()));
            return;
        }
        received.exceptionHandler(cause -> fail(Reason.STAGE_DIED, "connection failed: " + Failures.describe(cause)));
        received.endHandler(ignored -> fail(Reason.STAGE_DIED, "stream ended without a line of type done"));
        received.handler(this::onChunk);
        if (isPaused) {
            received.pause();
        }
    }

    private void onChunk(Buffer bytes) {
        if (isEnded) {
            return;
        }
        lastReadMs = clockMs.getAsLong();
        try {
            splitter.accept(bytes);
        } catch (MalformedLineException e) {
            counters.malformedLines.increment();
            fail(Reason.STAGE_DIED, e.getMessage());
        }
    }

    private boolean onLine(byte[] bytes, int offset, int length) throws MalformedLineException {
        EngineLineParser.Line line = EngineLineParser.parse(bytes, offset, length);
        if (!line.requestId.equals(attempt.requestId()) || line.epoch != attempt.epoch()) {
            counters.mismatchedLines.increment();
            return true;
        }
        switch (line.type) {
            case "accepted" -> onAccepted();
            case "token" -> onToken(line);
            case "done" -> onDone(line);
            default -> onError(line);
        }
        return !isEnded;
    }

    private void onAccepted() throws MalformedLineException {
        if (isAccepted) {
            throw new MalformedLineException("attempt accepted twice");
        }
        isAccepted = true;
        receiver.handle(new EngineEvent.Accepted());
    }

    private void onToken(EngineLineParser.Line line) throws MalformedLineException {
        if (line.sequence < nextSequence) {
            counters.duplicateTokens.increment();
            return;
        }
        if (!isAccepted || line.sequence > nextSequence) {
            throw new MalformedLineException("received token " + line.sequence + ", expected token " + nextSequence);
        }
        if (!line.layers.equals(chainLayers)) {
            throw new MalformedLineException("token " + line.sequence + " ran layers " + line.layers);
        }
        if (line.sequence >= attempt.maxNewTokens()) {
            throw new MalformedLineException("token " + line.sequence + " exceeds the requested number of tokens");
        }
        nextSequence++;
        receiver.handle(new EngineEvent.Token(line.sequence, line.text, line.layers, line.stageTimesUs));
    }

    private void onDone(EngineLineParser.Line line) throws MalformedLineException {
        if (!isAccepted) {
            throw new MalformedLineException("attempt ended before it was accepted");
        }
        if (line.tokens != nextSequence) {
            throw new MalformedLineException("engine reported " + line.tokens + " tokens but sent " + nextSequence);
        }
        endAndDrainResponse();
        receiver.handle(new EngineEvent.Done(line.tokens, line.finishReason));
    }

    private void onError(EngineLineParser.Line line) {
        endAndDrainResponse();
        Reason reason = line.verdict == Verdict.NOT_RUN ? Reason.ENDPOINT_REFUSED : Reason.STAGE_DIED;
        receiver.handle(new EngineEvent.Failed(line.endpointId, reason, line.verdict, line.detail));
    }

    private void scheduleIdleCheck(long delayMs) {
        idleTimer = vertx.setTimer(delayMs, id -> {
            long leftMs = lastReadMs + options.idleTimeoutMs() - clockMs.getAsLong();
            if (isPaused) {
                scheduleIdleCheck(options.idleTimeoutMs());
            } else if (leftMs > 0) {
                scheduleIdleCheck(leftMs);
            } else {
                fail(Reason.ENDPOINT_TIMEOUT, "no data for " + options.idleTimeoutMs() + " ms");
            }
        });
    }

    private void fail(Reason reason, String detail) {
        if (isEnded) {
            return;
        }
        close();
        Verdict verdict = request == null ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
        receiver.handle(new EngineEvent.Failed(attempt.firstStage().endpointId(), reason, verdict, detail));
    }

    /** Ends the stream and closes its connection, which cancels the attempt at the engine. */
    private void close() {
        if (isEnded) {
            return;
        }
        stopTimers();
        if (request != null) {
            request.reset();
        }
    }

    /** Reads the rest of the response, so that its connection returns to the pool; resets the request on a timeout. */
    private void endAndDrainResponse() {
        stopTimers();
        long timer = vertx.setTimer(options.idleTimeoutMs(), id -> request.reset());
        response.endHandler(ignored -> vertx.cancelTimer(timer));
        response.exceptionHandler(ignored -> vertx.cancelTimer(timer));
        response.resume();
    }

    private void stopTimers() {
        isEnded = true;
        vertx.cancelTimer(deadlineTimer);
        vertx.cancelTimer(idleTimer);
    }

    private void runOnContext(Runnable action) {
        if (vertx.getOrCreateContext() == context) {
            action.run();
        } else {
            context.runOnContext(ignored -> action.run());
        }
    }
}
