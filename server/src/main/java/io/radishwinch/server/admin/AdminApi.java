package io.radishwinch.server.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.radishwinch.config.settings.Operator;
import io.radishwinch.config.settings.Operator.Role;
import io.radishwinch.report.DaySlots;
import io.radishwinch.report.DaySummary;
import io.radishwinch.report.DaySummaryCodec;
import io.radishwinch.server.Failures;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.infrastructure.Infrastructure;
import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.LocalDate;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * HTTP interface for operators. Serves JSON under {@code /admin/v1} and metrics under {@code /metrics}, both with a
 * bearer key, and {@code /healthz} and {@code /readyz} without a key.
 */
public final class AdminApi {

    /** Base path of the resources for operators. */
    public static final String BASE_PATH = "/admin/v1";

    /** Maximum size of a request body, in bytes; equals the maximum size of a value of the platform. */
    public static final int MAX_BODY_BYTES = 1 << 20;

    static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    private static final System.Logger LOG = System.getLogger(AdminApi.class.getName());
    private static final String OPERATOR = "operator";

    /**
     * Shorter than the 30 s timeout of the command-line tool, so that the tool receives the reason for a missing
     * result.
     */
    private static final long RESPONSE_TIMEOUT_MS = 20_000;

    private final Vertx vertx;
    private final RouterControl control;
    private final OperatorAuthenticator authenticator;
    private final long responseTimeoutMs;

    /**
     * Creates the interface.
     *
     * @param vertx Vert.x instance of the HTTP server
     * @param control access to the router
     * @param operators supplies the operators in the settings in effect
     */
    public AdminApi(Vertx vertx, RouterControl control, Supplier<List<Operator>> operators) {
        this(vertx, control, operators, RESPONSE_TIMEOUT_MS);
    }

    AdminApi(Vertx vertx, RouterControl control, Supplier<List<Operator>> operators, long responseTimeoutMs) {
        this.responseTimeoutMs = responseTimeoutMs;
        this.vertx = vertx;
        this.control = control;
        this.authenticator = new OperatorAuthenticator(operators);
    }

    /** Returns the routes, for use as the request handler of an HTTP server. */
    public Router router() {
        Router router = Router.router(vertx);
        router.get("/healthz").handler(this::handleHealth);
        router.get("/readyz").handler(this::handleReadiness);
        router.get("/metrics").handler(requireRole(Role.VIEWER)).handler(this::handleMetrics);
        router.route(BASE_PATH + "/*").handler(requireRole(Role.VIEWER));
        router.route(BASE_PATH + "/*")
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES).setHandleFileUploads(false));
        addGetRoute(router, "/status", ctx -> control.status().map(status -> (Object) status));
        addGetRoute(router, "/settings", ctx -> Uni.createFrom().item(control.settingsInEffect()));
        addGetRoute(router, "/requests/:id", this::explainRequest);
        addGetRoute(router, "/callers/:name", this::explainCaller);
        addGetRoute(router, "/days/:date", this::daySummary);
        router.post(BASE_PATH + "/vms/:id/drain")
                .handler(requireRole(Role.OPERATOR))
                .handler(ctx -> respond(ctx, drain(ctx)));
        new ObjectRoutes(this, control).addTo(router);
        router.route().last().handler(ctx -> sendError(ctx, AdminError.notFound("no such resource", "")));
        router.errorHandler(404, ctx -> sendError(ctx, AdminError.notFound("no such resource", "")));
        router.errorHandler(
                405,
                ctx -> sendError(ctx, AdminError.of(405, "method", "the method is not allowed for this resource", "")));
        router.route().failureHandler(this::handleFailure);
        return router;
    }

    /** Responds with the item as JSON, or with an error response for a failure or timeout. */
    void respond(RoutingContext ctx, Uni<Object> result) {
        Context context = vertx.getOrCreateContext();
        result.ifNoItem()
                .after(Duration.ofMillis(responseTimeoutMs))
                .failWith(() -> new ControlException(
                        503,
                        "the router had no result within " + responseTimeoutMs + " ms; a change may have taken effect",
                        "repeat the command; the expected version prevents a change from being applied twice"))
                .subscribe()
                .with(
                        item -> context.runOnContext(ignored -> send(ctx, 200, item)),
                        failure -> context.runOnContext(ignored -> sendError(ctx, toAdminError(failure))));
    }

    /** Returns a handler that rejects requests unless the operator has the given role. */
    Handler<RoutingContext> requireRole(Role role) {
        return ctx -> {
            Optional<Operator> operator =
                    authenticator.authenticate(ctx.request().getHeader("Authorization"));
            if (operator.isEmpty()) {
                ctx.response().putHeader("WWW-Authenticate", "Bearer");
                sendError(
                        ctx,
                        AdminError.of(
                                401,
                                "unknown-key",
                                "the key is missing or belongs to no operator",
                                "send 'Authorization: Bearer KEY' with a key whose hash is under operators in the"
                                        + " router's settings"));
            } else if (!operator.get().role().includes(role)) {
                sendError(
                        ctx,
                        AdminError.of(
                                403,
                                "role",
                                "operator " + operator.get().name() + " has the role "
                                        + wireName(operator.get().role()) + "; this needs " + wireName(role),
                                "ask an operator with that role"));
            } else {
                ctx.put(OPERATOR, operator.get());
                ctx.next();
            }
        };
    }

    /** Returns a stamp for a change made by the operator of the request. */
    ChangeStamp changeStamp(RoutingContext ctx) {
        Operator operator = ctx.get(OPERATOR);
        return new ChangeStamp(
                operator.name(), control.nowMs(), UUID.randomUUID().toString());
    }

    /** Thrown to end a request with the given error response. */
    static final class RejectedException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final transient AdminError error;

        RejectedException(AdminError error) {
            super(error.message());
            this.error = error;
        }
    }

    private void addGetRoute(Router router, String path, Function<RoutingContext, Uni<Object>> route) {
        router.route(HttpMethod.GET, BASE_PATH + path).handler(ctx -> respond(ctx, route.apply(ctx)));
    }

    private void handleHealth(RoutingContext ctx) {
        boolean healthy = control.isHealthy();
        send(ctx, healthy ? 200 : 503, Map.of("healthy", healthy));
    }

    private void handleReadiness(RoutingContext ctx) {
        Optional<String> reason = control.notReadyReason();
        send(ctx, reason.isEmpty() ? 200 : 503, Map.of("ready", reason.isEmpty(), "reason", reason.orElse("")));
    }

    private void handleMetrics(RoutingContext ctx) {
        ctx.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                .end(control.metricsText());
    }

    private Uni<Object> explainRequest(RoutingContext ctx) {
        String id = ctx.pathParam("id");
        return control.explainRequest(id).map(found -> found.map(Object.class::cast)
                .orElseThrow(() -> new RejectedException(AdminError.notFound(
                        "this router has no record of request " + id,
                        "query the router that accepted it; each router records only its latest requests"))));
    }

    private Uni<Object> explainCaller(RoutingContext ctx) {
        String name = ctx.pathParam("name");
        return control.explainCaller(name).map(found -> found.map(Object.class::cast)
                .orElseThrow(() -> new RejectedException(AdminError.notFound(
                        "there is no contract of caller " + name,
                        "see the contracts with 'radishwinch contract list'"))));
    }

    private Uni<Object> drain(RoutingContext ctx) {
        String id = ctx.pathParam("id");
        return control.drainVm(id, changeStamp(ctx)).map(found -> found.map(Object.class::cast)
                .orElseThrow(() -> new RejectedException(AdminError.notFound(
                        "the VM " + id + " is not known to this router", "see the VMs with 'radishwinch status'"))));
    }

    /** Merges the summaries of a day on a worker thread, because there can be several hundred of them. */
    private Uni<Object> daySummary(RoutingContext ctx) {
        LocalDate date;
        try {
            date = LocalDate.parse(ctx.pathParam("date"));
        } catch (DateTimeException e) {
            return Uni.createFrom()
                    .failure(new RejectedException(AdminError.of(
                            400, "malformed", "invalid date: " + ctx.pathParam("date"), "use the format YYYY-MM-DD")));
        }
        return control.daySummaries(date)
                .emitOn(Infrastructure.getDefaultExecutor())
                .onItem()
                .scan(() -> new MergedDay(null, 0), MergedDay::plus)
                .collect()
                .last()
                .map(merged -> toDayResponse(date, merged));
    }

    private Object toDayResponse(LocalDate date, MergedDay merged) {
        if (merged.builder() == null) {
            throw new RejectedException(AdminError.notFound(
                    "no router has written a summary of " + date, "summaries are kept for 400 days"));
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("day", date.toString());
        body.put("summaries", merged.count());
        body.put("nowMs", control.nowMs());
        try {
            body.put(
                    "summary",
                    JSON.readTree(DaySummaryCodec.encode(merged.builder().build())));
        } catch (IOException e) {
            throw new IllegalStateException("encoded day summary is not valid JSON", e);
        }
        return body;
    }

    /** Accumulator of the merged summaries. */
    private record MergedDay(DaySummary.Builder builder, int count) {
        MergedDay plus(DaySummary next) {
            DaySlots day = builder == null ? next.day() : null;
            DaySummary.Builder target = builder == null ? DaySummary.builder(day) : builder;
            return new MergedDay(target.add(next), count + 1);
        }
    }

    private void handleFailure(RoutingContext ctx) {
        if (ctx.statusCode() == 413) {
            sendError(
                    ctx,
                    AdminError.of(
                            413,
                            "too-large",
                            "the body has more than " + MAX_BODY_BYTES + " bytes",
                            "split the object into smaller ones"));
        } else if (ctx.failure() != null) {
            sendError(ctx, toAdminError(ctx.failure()));
        } else {
            sendError(
                    ctx,
                    AdminError.of(ctx.statusCode() > 0 ? ctx.statusCode() : 500, "failed", "the request failed", ""));
        }
    }

    private static AdminError toAdminError(Throwable failure) {
        if (failure instanceof RejectedException rejected) {
            return rejected.error;
        }
        if (failure instanceof ControlException e) {
            return AdminError.of(e.status(), "router", e.getMessage(), e.hint());
        }
        LOG.log(System.Logger.Level.WARNING, "operator request failed", failure);
        String message = Failures.describe(failure);
        return AdminError.of(503, "unavailable", message, "repeat the command; if it fails again, ask another router");
    }

    private static void sendError(RoutingContext ctx, AdminError error) {
        send(ctx, error.status(), error.body());
    }

    private static void send(RoutingContext ctx, int status, Object body) {
        if (ctx.response().ended()) {
            return;
        }
        try {
            ctx.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .putHeader("Cache-Control", "no-store")
                    .putHeader("X-Content-Type-Options", "nosniff")
                    .end(JSON.writeValueAsString(body) + "\n");
        } catch (IOException e) {
            LOG.log(System.Logger.Level.ERROR, "failed to encode response as JSON", e);
            ctx.response().setStatusCode(500).end();
        }
    }

    private static String wireName(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }
}
