package io.radishwinch.server.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.radishwinch.config.settings.Operator;
import io.radishwinch.config.settings.Operator.Role;
import io.radishwinch.report.DaySlots;
import io.radishwinch.report.DaySummary;
import io.radishwinch.report.DaySummaryCodec;
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
 * The operators' HTTP interface: JSON under {@code /admin/v1} with bearer keys, {@code /metrics} with a key, and
 * {@code /healthz} and {@code /readyz} without.
 */
public final class AdminApi {

    /** Path under which all operators' resources are found. */
    public static final String BASE_PATH = "/admin/v1";

    /** Largest request body, in bytes; equal to the largest value of the platform. */
    public static final int MAX_BODY_BYTES = 1_000_000;

    static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    private static final System.Logger LOG = System.getLogger(AdminApi.class.getName());
    private static final String OPERATOR = "operator";

    /** Below the 30 s that the tool waits, so that it learns why there is no result. */
    private static final long ANSWER_TIMEOUT_MS = 20_000;

    private final Vertx vertx;
    private final RouterControl control;
    private final OperatorAuthenticator authenticator;
    private final long answerTimeoutMs;

    /**
     * Creates the interface.
     *
     * @param vertx Vert.x instance of the HTTP server
     * @param control port to the router
     * @param operators operators of the settings in effect
     */
    public AdminApi(Vertx vertx, RouterControl control, Supplier<List<Operator>> operators) {
        this(vertx, control, operators, ANSWER_TIMEOUT_MS);
    }

    AdminApi(Vertx vertx, RouterControl control, Supplier<List<Operator>> operators, long answerTimeoutMs) {
        this.answerTimeoutMs = answerTimeoutMs;
        this.vertx = vertx;
        this.control = control;
        this.authenticator = new OperatorAuthenticator(operators);
    }

    /** Returns the routes, to be used as request handler of an HTTP server. */
    public Router router() {
        Router router = Router.router(vertx);
        router.get("/healthz").handler(this::health);
        router.get("/readyz").handler(this::readiness);
        router.get("/metrics").handler(require(Role.VIEWER)).handler(this::metrics);
        router.route(BASE_PATH + "/*").handler(require(Role.VIEWER));
        router.route(BASE_PATH + "/*")
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES).setHandleFileUploads(false));
        get(router, "/status", ctx -> control.status().map(status -> (Object) status));
        get(router, "/settings", ctx -> Uni.createFrom().item(control.settingsInEffect()));
        get(router, "/requests/:id", this::explainRequest);
        get(router, "/callers/:name", this::explainCaller);
        get(router, "/days/:date", this::day);
        router.post(BASE_PATH + "/vms/:id/drain")
                .handler(require(Role.OPERATOR))
                .handler(ctx -> answer(ctx, drain(ctx)));
        new ObjectRoutes(this, control).addTo(router);
        router.route().last().handler(ctx -> fail(ctx, AdminError.notFound("no such resource", "")));
        router.errorHandler(404, ctx -> fail(ctx, AdminError.notFound("no such resource", "")));
        router.errorHandler(405, ctx -> fail(ctx, AdminError.of(405, "method", "the method is not allowed here", "")));
        router.route().failureHandler(this::failed);
        return router;
    }

    // Helpers of the route classes

    /** Answers with the item as JSON, or with the error that the failure stands for. */
    void answer(RoutingContext ctx, Uni<Object> result) {
        Context context = vertx.getOrCreateContext();
        result.ifNoItem()
                .after(Duration.ofMillis(answerTimeoutMs))
                .failWith(() -> new ControlException(
                        503,
                        "the router had no result within " + answerTimeoutMs + " ms; a change may have taken effect",
                        "repeat the command; the expected version keeps a change from being made twice"))
                .subscribe()
                .with(
                        item -> context.runOnContext(ignored -> send(ctx, 200, item)),
                        failure -> context.runOnContext(ignored -> fail(ctx, errorOf(failure))));
    }

    /** Returns a handler that lets only operators with the role pass. */
    Handler<RoutingContext> require(Role role) {
        return ctx -> {
            Optional<Operator> operator =
                    authenticator.authenticate(ctx.request().getHeader("Authorization"));
            if (operator.isEmpty()) {
                ctx.response().putHeader("WWW-Authenticate", "Bearer");
                fail(
                        ctx,
                        AdminError.of(
                                401,
                                "unknown-key",
                                "the key is missing or belongs to no operator",
                                "send 'Authorization: Bearer KEY' with a key whose hash is under operators in the"
                                        + " router's settings"));
            } else if (!operator.get().role().includes(role)) {
                fail(
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

    /** Returns the mark of a change by the operator of the request. */
    ChangeMark changeMark(RoutingContext ctx) {
        Operator operator = ctx.get(OPERATOR);
        return new ChangeMark(
                operator.name(), control.nowMs(), UUID.randomUUID().toString());
    }

    /** A failure that carries its answer. */
    static final class Rejected extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private final transient AdminError error;

        Rejected(AdminError error) {
            super(error.message());
            this.error = error;
        }
    }

    // Routes

    private void get(Router router, String path, Function<RoutingContext, Uni<Object>> route) {
        router.route(HttpMethod.GET, BASE_PATH + path).handler(ctx -> answer(ctx, route.apply(ctx)));
    }

    private void health(RoutingContext ctx) {
        boolean healthy = control.isHealthy();
        send(ctx, healthy ? 200 : 503, Map.of("healthy", healthy));
    }

    private void readiness(RoutingContext ctx) {
        Optional<String> reason = control.notReadyReason();
        send(ctx, reason.isEmpty() ? 200 : 503, Map.of("ready", reason.isEmpty(), "reason", reason.orElse("")));
    }

    private void metrics(RoutingContext ctx) {
        ctx.response()
                .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                .end(control.metricsText());
    }

    private Uni<Object> explainRequest(RoutingContext ctx) {
        String id = ctx.pathParam("id");
        return control.explainRequest(id).map(found -> found.map(Object.class::cast)
                .orElseThrow(() -> new Rejected(AdminError.notFound(
                        "this router does not remember request " + id,
                        "ask the router that accepted it; each remembers only its latest requests"))));
    }

    private Uni<Object> explainCaller(RoutingContext ctx) {
        String name = ctx.pathParam("name");
        return control.explainCaller(name).map(found -> found.map(Object.class::cast)
                .orElseThrow(() -> new Rejected(AdminError.notFound(
                        "there is no contract of caller " + name,
                        "see the contracts with 'radishwinch contract list'"))));
    }

    private Uni<Object> drain(RoutingContext ctx) {
        String id = ctx.pathParam("id");
        return control.drainVm(id, changeMark(ctx)).map(found -> found.map(Object.class::cast)
                .orElseThrow(() -> new Rejected(
                        AdminError.notFound("no VM " + id + " is known", "see the VMs with 'radishwinch status'"))));
    }

    /** Merges the summaries of a day on a worker thread, since there may be several hundred of them. */
    private Uni<Object> day(RoutingContext ctx) {
        LocalDate date;
        try {
            date = LocalDate.parse(ctx.pathParam("date"));
        } catch (DateTimeException e) {
            return Uni.createFrom()
                    .failure(new Rejected(AdminError.of(
                            400, "malformed", "not a date: " + ctx.pathParam("date"), "write it as YYYY-MM-DD")));
        }
        return control.daySummaries(date)
                .emitOn(Infrastructure.getDefaultExecutor())
                .onItem()
                .scan(() -> new MergedDay(null, 0), MergedDay::plus)
                .collect()
                .last()
                .map(merged -> dayBody(date, merged));
    }

    private Object dayBody(LocalDate date, MergedDay merged) {
        if (merged.builder() == null) {
            throw new Rejected(AdminError.notFound(
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
            throw new IllegalStateException("an encoded summary is not JSON", e);
        }
        return body;
    }

    /** Summaries merged so far. */
    private record MergedDay(DaySummary.Builder builder, int count) {
        MergedDay plus(DaySummary next) {
            DaySlots day = builder == null ? next.day() : null;
            DaySummary.Builder target = builder == null ? DaySummary.builder(day) : builder;
            return new MergedDay(target.add(next), count + 1);
        }
    }

    // Answers

    private void failed(RoutingContext ctx) {
        if (ctx.statusCode() == 413) {
            fail(
                    ctx,
                    AdminError.of(
                            413,
                            "too-large",
                            "the body has more than " + MAX_BODY_BYTES + " bytes",
                            "split the object"));
        } else if (ctx.failure() != null) {
            fail(ctx, errorOf(ctx.failure()));
        } else {
            fail(ctx, AdminError.of(ctx.statusCode() > 0 ? ctx.statusCode() : 500, "failed", "the request failed", ""));
        }
    }

    private static AdminError errorOf(Throwable failure) {
        if (failure instanceof Rejected rejected) {
            return rejected.error;
        }
        if (failure instanceof ControlException e) {
            return AdminError.of(e.status(), "router", e.getMessage(), e.hint());
        }
        LOG.log(System.Logger.Level.WARNING, "operator request failed", failure);
        String message = failure.getMessage() == null ? failure.getClass().getSimpleName() : failure.getMessage();
        return AdminError.of(503, "unavailable", message, "repeat the command; if it fails again, ask another router");
    }

    private static void fail(RoutingContext ctx, AdminError error) {
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
            LOG.log(System.Logger.Level.ERROR, "an answer could not be written as JSON", e);
            ctx.response().setStatusCode(500).end();
        }
    }

    private static String wireName(Role role) {
        return role.name().toLowerCase(Locale.ROOT);
    }
}
