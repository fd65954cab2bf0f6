package io.radishwinch.server.http;

import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Chain;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.Stage;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.engine.AttemptRequest;
import io.radishwinch.server.engine.EndpointAddress;
import io.radishwinch.server.engine.EngineEvent;
import io.radishwinch.server.engine.EngineStream;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Exchange of one completion request; forwards the tokens of its attempts to the caller. */
final class ModelExchange extends AbstractExchange<ExchangeContext> {
    private static final long PROGRESS_INTERVAL_MS = 1000;

    private final CompletionRequest completion;
    private final CompletionResponseFormat format;
    private final List<String> deliveredTokens = new ArrayList<>();
    private String finishReason = "length";
    private EngineStream stream;
    private Chain chain;
    private int epoch;
    private boolean isPaused;
    private long nextProgressAtMs;
    private long[] stageTimesUs = {};
    private int attemptTokens;

    ModelExchange(
            ExchangeContext shared,
            RequestSpec request,
            CompletionRequest completion,
            HttpServerRequest httpRequest,
            long reservedBytes) {
        super(shared, request, httpRequest, reservedBytes);
        this.completion = completion;
        this.format = new CompletionResponseFormat(completion, request.requestId(), request.arrivedAtMs() / 1000);
    }

    @Override
    protected void startAttempt(Action.StartAttempt attempt) {
        releaseEndpoint();
        epoch = attempt.epoch();
        chain = attempt.chain();
        attemptTokens = 0;
        stageTimesUs = new long[chain.stages().size()];
        List<AttemptRequest.StageTarget> targets = targets(attempt);
        if (targets.isEmpty()) {
            postAttemptFailed(chain.firstStage().endpointId(), Reason.ENDPOINT_REFUSED, Verdict.NOT_RUN);
            return;
        }
        int attemptEpoch = epoch;
        stream = shared.engineClient()
                .open(attemptRequest(attempt, targets), event -> guard(() -> onEngineEvent(attemptEpoch, event)));
    }

    private AttemptRequest attemptRequest(Action.StartAttempt attempt, List<AttemptRequest.StageTarget> targets) {
        return new AttemptRequest(
                request.requestId(),
                attempt.epoch(),
                completion.model(),
                targets,
                completion.prompt(),
                request.promptTokens(),
                request.prefixHashes(),
                deliveredTokens,
                request.maxNewTokens(),
                attempt.priority(),
                attempt.deadlineMs());
    }

    private List<AttemptRequest.StageTarget> targets(Action.StartAttempt attempt) {
        List<EndpointAddress> kvSources = attempt.kvSourceEndpointIds().stream()
                .map(shared.endpoints()::address)
                .filter(Objects::nonNull)
                .toList();
        List<AttemptRequest.StageTarget> targets = new ArrayList<>();
        for (Stage stage : attempt.chain().stages()) {
            EndpointAddress address = shared.endpoints().address(stage.endpointId());
            if (address == null) {
                return List.of();
            }
            targets.add(new AttemptRequest.StageTarget(address, stage.layers(), kvSources));
        }
        return targets;
    }

    private void onEngineEvent(int attemptEpoch, EngineEvent event) {
        if (isFinished() || attemptEpoch != epoch || stream == null && !(event instanceof EngineEvent.Failed)) {
            return;
        }
        if (event instanceof EngineEvent.Token token) {
            onToken(token);
        } else if (event instanceof EngineEvent.Accepted) {
            post(new Event.AttemptStarted(request.requestId(), epoch));
        } else if (event instanceof EngineEvent.Done done) {
            onDone(done);
        } else if (event instanceof EngineEvent.Failed failed) {
            stream = null;
            postAttemptFailed(failed.endpointId(), failed.reason(), failed.verdict());
        }
    }

    private void postAttemptFailed(String endpointId, Reason reason, Verdict verdict) {
        post(new Event.AttemptFailed(request.requestId(), epoch, endpointId, reason, verdict, deliveredTokens.size()));
    }

    private void onToken(EngineEvent.Token token) {
        if (token.sequence() != deliveredTokens.size()) {
            return;
        }
        long nowMs = shared.control().nowMs();
        if (attemptTokens++ == 0) {
            post(new Event.FirstToken(request.requestId(), epoch));
            nextProgressAtMs = nowMs + PROGRESS_INTERVAL_MS;
        } else if (nowMs >= nextProgressAtMs) {
            post(new Event.Progress(request.requestId(), epoch, deliveredTokens.size()));
            nextProgressAtMs = nowMs + PROGRESS_INTERVAL_MS;
        }
        addStageTimes(token.stageTimesUs());
        deliveredTokens.add(token.text());
        delivery.recordToken(nowMs);
        if (completion.isStreaming()) {
            writeToken(token.text());
        }
    }

    private void addStageTimes(long[] times) {
        for (int i = 0; i < stageTimesUs.length && i < times.length; i++) {
            stageTimesUs[i] += times[i];
        }
    }

    private void onDone(EngineEvent.Done done) {
        stream = null;
        finishReason = done.finishReason();
        if (done.tokens() != deliveredTokens.size()) {
            postAttemptFailed(chain.firstStage().endpointId(), Reason.STAGE_DIED, Verdict.MAY_HAVE_RUN);
            return;
        }
        postStageTimes();
        post(new Event.AttemptFinished(request.requestId(), epoch, deliveredTokens.size()));
    }

    private void postStageTimes() {
        List<Stage> stages = chain.stages();
        for (int i = 0; i < stages.size() && attemptTokens > 0; i++) {
            double layerTimeUs = (double) stageTimesUs[i]
                    / attemptTokens
                    / stages.get(i).layers().size();
            if (layerTimeUs > 0) {
                post(new Event.StageMeasured(stages.get(i).endpointId(), layerTimeUs));
            }
        }
    }

    @Override
    protected void cancelAttempt(int cancelledEpoch, Reason reason) {
        if (cancelledEpoch != epoch || stream == null) {
            return;
        }
        releaseEndpoint();
        postAttemptFailed(chain.firstStage().endpointId(), reason, Verdict.MAY_HAVE_RUN);
    }

    @Override
    protected void releaseEndpoint() {
        if (stream != null) {
            stream.cancel();
            stream = null;
        }
    }

    private void writeToken(String text) {
        boolean isFirst = !response.headWritten();
        if (isFirst) {
            startEventStream();
        }
        response.write(format.tokenEvent(text, isFirst));
        if (response.writeQueueFull() && !isPaused && stream != null) {
            isPaused = true;
            stream.pause();
            startWriteTimer();
            response.drainHandler(ignored -> guard(this::onWriteQueueDrained));
        }
    }

    private void onWriteQueueDrained() {
        isPaused = false;
        cancelWriteTimer();
        if (stream != null) {
            stream.resume();
        }
    }

    private void startEventStream() {
        response.setChunked(true)
                .putHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .putHeader(HttpHeaders.CACHE_CONTROL, "no-cache")
                .putHeader("X-Request-Id", request.requestId());
    }

    @Override
    protected void completeResponse() {
        finish(Optional.empty());
        if (!completion.isStreaming()) {
            String text = String.join("", deliveredTokens);
            reportUnwritten(response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                    .putHeader("X-Request-Id", request.requestId())
                    .end(format.fullResponse(text, finishReason, request.promptTokens(), deliveredTokens.size())
                            .toString()));
            return;
        }
        if (!response.headWritten()) {
            startEventStream();
        }
        response.write(format.finishEvent(finishReason));
        if (completion.includeUsage()) {
            response.write(format.usageEvent(request.promptTokens(), deliveredTokens.size()));
        }
        reportUnwritten(response.end(CompletionResponseFormat.STREAM_END));
    }

    /**
     * Sends the error as the last event if the response head was already sent, and breaks off the response. A caller
     * that does not look for {@code [DONE]} would take a response that ends normally for complete.
     */
    @Override
    protected void refuseRequest(Refusal refusal) {
        if (!response.headWritten()) {
            super.refuseRequest(refusal);
            return;
        }
        finish(Optional.of(refusal));
        startWriteTimer();
        response.write("data: " + ErrorResponse.body(refusal, request.requestId()) + "\n\n")
                .onComplete(ignored -> guard(() -> {
                    cancelWriteTimer();
                    abortResponse(refusal.reason());
                }));
    }
}
