package io.radishwinch.server.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.core.model.ServiceSpec;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.server.InternalErrors;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Routes of the callers' HTTP interface. Confined to one traffic thread. */
final class CallerApi {
    private static final String SERVICES_PATH = "/services/";

    private final ExchangeContext shared;
    private final Supplier<CallerConfig> config;
    private final Supplier<String> requestIds;
    private final BooleanSupplier ready;
    private final int maxBodyBytes;
    private final long bodyTimeoutMs;

    CallerApi(
            ExchangeContext shared,
            Supplier<CallerConfig> config,
            RouterSettings settings,
            Supplier<String> requestIds,
            BooleanSupplier ready) {
        this.shared = shared;
        this.config = config;
        this.requestIds = requestIds;
        this.ready = ready;
        this.maxBodyBytes = settings.integer(SettingKey.CALLER_MAX_BODY_BYTES);
        this.bodyTimeoutMs = settings.integer(SettingKey.CALLER_BODY_TIMEOUT_MS);
    }

    Router routes() {
        Router router = Router.router(shared.vertx());
        router.get("/healthz").handler(ctx -> ctx.response().end("ok\n"));
        router.get("/readyz").handler(this::handleReadiness);
        router.get("/v1/models").handler(this::handleModels);
        router.post("/v1/chat/completions").handler(ctx -> handleCompletion(ctx, true));
        router.post("/v1/completions").handler(ctx -> handleCompletion(ctx, false));
        router.route(SERVICES_PATH + "*").handler(this::handleService);
        router.route()
                .handler(ctx -> reject(
                        ctx,
                        "",
                        Optional.empty(),
                        Refusal.notRun(
                                Reason.UNKNOWN_PATH, ErrorMessages.of(Reason.UNKNOWN_PATH) + ": " + displayPath(ctx))));
        router.route().failureHandler(this::handleFailure);
        return router;
    }

    private void handleReadiness(RoutingContext ctx) {
        boolean isReady = ready.getAsBoolean();
        ctx.response().setStatusCode(isReady ? 200 : 503).end(isReady ? "ready\n" : "not ready\n");
    }

    private void handleModels(RoutingContext ctx) {
        CallerConfig current = config.get();
        Optional<Contract> contract = authenticate(ctx, current);
        if (contract.isEmpty()) {
            return;
        }
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        current.fleet().models().values().stream()
                .map(ModelSpec::name)
                .filter(contract.get()::allowsPool)
                .sorted()
                .forEach(name -> data.addObject()
                        .put("id", name)
                        .put("object", "model")
                        .put("created", 0)
                        .put("owned_by", "radishwinch"));
        ctx.response().putHeader(HttpHeaders.CONTENT_TYPE, "application/json").end(root.toString());
    }

    private void handleCompletion(RoutingContext ctx, boolean isChat) {
        withBody(ctx, (fleet, caller, body) -> {
            Either<Refusal, CompletionRequest> parsed = CompletionRequestParser.parse(isChat, body.getBytes());
            if (parsed.isLeft()) {
                releaseBodyAndReject(ctx, caller, body, parsed.getLeft());
            } else {
                startCompletion(ctx, fleet, caller, body, parsed.get());
            }
        });
    }

    private void startCompletion(
            RoutingContext ctx, FleetConfig fleet, CallerRequest caller, Buffer body, CompletionRequest completion) {
        ModelSpec model = fleet.models().get(completion.model());
        byte[] prompt = completion.prompt().getBytes(StandardCharsets.UTF_8);
        int promptTokens = PromptHashes.estimateTokens(prompt.length);
        if (model == null) {
            releaseBodyAndReject(
                    ctx, caller, body, Refusal.notRun(Reason.UNKNOWN_MODEL, ErrorMessages.of(Reason.UNKNOWN_MODEL)));
        } else if (!caller.contract().allowsPool(model.name())) {
            releaseBodyAndReject(
                    ctx, caller, body, Refusal.notRun(Reason.FORBIDDEN, ErrorMessages.of(Reason.FORBIDDEN)));
        } else if ((long) promptTokens + completion.maxNewTokens() > model.maxContextTokens()) {
            String message =
                    "prompt and completion exceed the context limit of " + model.maxContextTokens() + " tokens";
            releaseBodyAndReject(ctx, caller, body, Refusal.notRun(Reason.MALFORMED_REQUEST, message));
        } else if (completion.isStreaming() && ctx.request().version() == HttpVersion.HTTP_1_0) {
            // The end of the connection would end the stream, also if the stream broke off.
            String message = "a streamed response needs HTTP/1.1";
            releaseBodyAndReject(ctx, caller, body, Refusal.notRun(Reason.MALFORMED_REQUEST, message));
        } else {
            RequestSpec spec = new RequestSpec(
                    caller.requestId(),
                    caller.contract().caller(),
                    caller.rank(),
                    model.name(),
                    promptTokens,
                    completion.maxNewTokens(),
                    caller.arrivedAtMs(),
                    caller.deadlineMs(),
                    PromptHashes.fingerprint(caller.contract().caller(), model.name(), prompt),
                    PromptHashes.prefixHashes(prompt),
                    true);
            new ModelExchange(shared, spec, completion, ctx.request(), body.length()).submit();
        }
    }

    private void handleService(RoutingContext ctx) {
        withBody(ctx, (fleet, caller, body) -> {
            String nameAndUri = ctx.request().uri().substring(SERVICES_PATH.length());
            int nameEnd = indexOfAny(nameAndUri, '/', '?');
            String name = nameAndUri.substring(0, nameEnd);
            String uri = nameEnd < nameAndUri.length() && nameAndUri.charAt(nameEnd) == '/'
                    ? nameAndUri.substring(nameEnd)
                    : "/" + nameAndUri.substring(nameEnd);
            ServiceSpec service = fleet.services().get(name);
            if (service == null) {
                releaseBodyAndReject(
                        ctx,
                        caller,
                        body,
                        Refusal.notRun(Reason.UNKNOWN_SERVICE, ErrorMessages.of(Reason.UNKNOWN_SERVICE)));
            } else {
                startService(ctx, caller, body, service, uri);
            }
        });
    }

    private void startService(RoutingContext ctx, CallerRequest caller, Buffer body, ServiceSpec service, String uri) {
        HttpServerRequest http = ctx.request();
        String pool = ModelSpec.SERVICE_PREFIX + service.name();
        String key = http.getHeader(RequestHeaders.IDEMPOTENCY_KEY);
        String path = uri.substring(0, indexOfAny(uri, '?', '#'));
        boolean isRepeatable = service.isRepeatable(http.method().name(), path);
        if (!caller.contract().allowsPool(pool)) {
            releaseBodyAndReject(
                    ctx, caller, body, Refusal.notRun(Reason.FORBIDDEN, ErrorMessages.of(Reason.FORBIDDEN)));
        } else if (!RequestHeaders.isKeyValid(key) || !isRepeatable && key == null) {
            releaseBodyAndReject(
                    ctx, caller, body, Refusal.notRun(Reason.KEY_REQUIRED, ErrorMessages.of(Reason.KEY_REQUIRED)));
        } else {
            byte[] head = (http.method().name() + " " + pool + uri + "\n").getBytes(StandardCharsets.UTF_8);
            byte[] content = Buffer.buffer(head).appendBuffer(body).getBytes();
            RequestSpec spec = new RequestSpec(
                    caller.requestId(),
                    caller.contract().caller(),
                    caller.rank(),
                    pool,
                    1,
                    0,
                    caller.arrivedAtMs(),
                    Math.min(caller.deadlineMs(), caller.arrivedAtMs() + service.timeoutMs()),
                    PromptHashes.fingerprint(caller.contract().caller(), pool, content),
                    List.of(),
                    isRepeatable);
            ServiceExchange.Call call =
                    new ServiceExchange.Call(http.method(), uri, http.headers(), body, key, KeyHash.sha256(content));
            new ServiceExchange(shared, spec, call, http).submit();
        }
    }

    private static int indexOfAny(String text, char first, char second) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == first || text.charAt(i) == second) {
                return i;
            }
        }
        return text.length();
    }

    /** Handles a request whose headers and body have been read, under the configuration of its authentication. */
    private interface BodyHandler {
        void handle(FleetConfig fleet, CallerRequest caller, Buffer body);
    }

    private void withBody(RoutingContext ctx, BodyHandler handler) {
        CallerConfig current = config.get();
        Optional<Contract> contract = authenticate(ctx, current);
        if (contract.isEmpty()) {
            return;
        }
        long nowMs = shared.control().nowMs();
        Either<Refusal, CallerRequest> caller =
                RequestHeaders.read(ctx.request().headers(), contract.get(), requestIds.get(), nowMs);
        if (caller.isLeft()) {
            reject(ctx, contract.get().caller(), Optional.empty(), caller.getLeft());
            return;
        }
        Consumer<Either<Refusal, Buffer>> receiver = result -> guard(ctx, caller.get(), result, () -> {
            if (result.isLeft()) {
                rejectWithoutBody(ctx, caller.get(), result.getLeft());
            } else {
                handler.handle(current.fleet(), caller.get(), result.get());
            }
        });
        BodyCollector.collect(
                shared.vertx(), ctx.request(), maxBodyBytes, bodyTimeoutMs, shared.bodyMemory(), receiver);
    }

    /** Runs the rest of the admission of a request, which is refused as not run if an exception ends it. */
    private void guard(RoutingContext ctx, CallerRequest caller, Either<Refusal, Buffer> body, Runnable admission) {
        try {
            admission.run();
        } catch (RuntimeException e) {
            shared.control().errors().report(InternalErrors.Part.EXCHANGE, caller.requestId(), e);
            shared.bodyMemory().release(body.fold(refusal -> 0, Buffer::length));
            if (!ctx.response().ended()) {
                rejectWithoutBody(
                        ctx, caller, Refusal.notRun(Reason.INTERNAL_ERROR, ErrorMessages.of(Reason.INTERNAL_ERROR)));
            }
        }
    }

    /** Returns the contract of the caller, or responds with an error and returns empty. */
    private Optional<Contract> authenticate(RoutingContext ctx, CallerConfig current) {
        if (current.isEmpty()) {
            reject(ctx, "", Optional.empty(), Refusal.notConfigured());
            return Optional.empty();
        }
        Optional<Contract> contract = current.contracts().find(ctx.request().getHeader(HttpHeaders.AUTHORIZATION));
        if (contract.isEmpty()) {
            reject(
                    ctx,
                    "",
                    Optional.empty(),
                    Refusal.notRun(Reason.UNKNOWN_CALLER, ErrorMessages.of(Reason.UNKNOWN_CALLER)));
        }
        return contract;
    }

    private void releaseBodyAndReject(RoutingContext ctx, CallerRequest caller, Buffer body, Refusal refusal) {
        rejectWithoutBody(ctx, caller, refusal);
        shared.bodyMemory().release(body.length());
    }

    private void rejectWithoutBody(RoutingContext ctx, CallerRequest caller, Refusal refusal) {
        reject(ctx, caller.contract().caller(), Optional.of(caller.rank()), refusal);
    }

    private void reject(RoutingContext ctx, String caller, Optional<Rank> rank, Refusal refusal) {
        String requestId = requestIds.get();
        observe(requestId, () -> shared.listener().rejected(Rejection.of(requestId, caller, rank, refusal)));
        HttpServerResponse response = ctx.response();
        boolean isBodyRead = ctx.request().isEnded();
        if (!isBodyRead) {
            // A connection with an unread request body cannot be reused, and a slow sender would keep it open.
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        Future<Void> written = ErrorResponse.send(response, requestId, refusal);
        shared.responseEnded(written);
        written.onFailure(ignored -> observe(requestId, () -> shared.listener()
                .responseCut(ResponseCut.unwritten(requestId, refusal.reason(), response))));
        if (!isBodyRead) {
            written.onComplete(ignored -> ctx.request().connection().close());
        }
    }

    private void observe(String requestId, Runnable observer) {
        shared.control().errors().observe(requestId, observer);
    }

    private void handleFailure(RoutingContext ctx) {
        shared.control().errors().report(InternalErrors.Part.EXCHANGE, "in its handler", ctx.failure());
        Refusal refusal =
                new Refusal(Reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN, ErrorMessages.of(Reason.INTERNAL_ERROR), 0);
        reject(ctx, "", Optional.empty(), refusal);
    }

    private static String displayPath(RoutingContext ctx) {
        String path = ctx.request().path();
        return path == null || path.length() > 80 ? "(too long)" : path;
    }
}
