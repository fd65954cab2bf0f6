package io.radishwinch.server.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.core.action.Action;
import io.radishwinch.core.event.Event;
import io.radishwinch.core.model.Contract;
import io.radishwinch.core.model.FleetConfig;
import io.radishwinch.core.model.Limits;
import io.radishwinch.core.model.ModelSpec;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.RankTerms;
import io.radishwinch.core.model.RequestSpec;
import io.radishwinch.server.ControlLoop;
import io.radishwinch.server.InternalErrors;
import io.radishwinch.server.ViewlessCore;
import io.radishwinch.server.logguard.ExpectsInternalErrors;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against callers who get no response because a handler throws before the core knows their request. */
class CallerApiTest {
    private static final int WAIT_MS = 20_000;
    private static final String KEY = "k";
    private static final String BODY = "{\"model\":\"other\",\"prompt\":\"p\"}";

    private final Vertx vertx = Vertx.vertx();
    private final MemoryBudget bodyMemory = new MemoryBudget(1 << 20);
    private final ControlLoop control = new ControlLoop(
            vertx.getOrCreateContext(),
            System::currentTimeMillis,
            new ViewlessCore() {
                @Override
                public List<Action> handle(Event event, long nowMs) {
                    return List.of();
                }
            },
            action -> {});
    private final Queue<CallerConfig> configs = new ArrayDeque<>(List.of(config(1, Map.of())));
    private boolean areObserversFailing;
    private int idsBeforeFailure = Integer.MAX_VALUE;

    /** Returns the configurations in their order, and the last one from then on. */
    private CallerConfig nextConfig() {
        return configs.size() > 1 ? configs.remove() : configs.element();
    }

    private static CallerConfig config(long version, Map<String, ModelSpec> models) {
        Contract contract = contract();
        return CallerConfig.of(new FleetConfig(version, Map.of(contract.caller(), contract), models, Map.of()));
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private int start() throws Exception {
        Supplier<String> ids = () -> {
            if (idsBeforeFailure-- == 0) {
                throw new IllegalStateException("no identifier");
            }
            return "r";
        };
        ExchangeContext shared = new ExchangeContext(
                vertx,
                vertx.getOrCreateContext(),
                control,
                null,
                null,
                id -> null,
                null,
                bodyMemory,
                new FailingListener(),
                new PendingWrites(),
                WAIT_MS);
        HttpServer server = vertx.createHttpServer()
                .requestHandler(
                        new CallerApi(shared, this::nextConfig, RouterSettings.defaults(), ids, () -> true).routes());
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(WAIT_MS, TimeUnit.MILLISECONDS)
                .actualPort();
    }

    private String post(String path) throws Exception {
        try (Socket caller = new Socket("127.0.0.1", start())) {
            caller.setSoTimeout(WAIT_MS);
            String request = "POST " + path + " HTTP/1.0\r\nAuthorization: Bearer " + KEY + "\r\nContent-Length: "
                    + BODY.length() + "\r\n\r\n" + BODY;
            caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** Waits, as the memory is released after the response is sent. */
    private void awaitReleasedMemory() throws InterruptedException {
        for (int i = 0; i < WAIT_MS && bodyMemory.usedBytes() != 0; i++) {
            Thread.sleep(1);
        }
        assertThat(bodyMemory.usedBytes()).isZero();
    }

    private void assertInternalError(String response, String verdict) throws Exception {
        assertThat(response)
                .startsWith("HTTP/1.0 500 ")
                .contains("\"reason\":\"internal-error\"")
                .contains("\"verdict\":\"" + verdict + "\"");
        assertThat(control.errors().count(InternalErrors.Part.EXCHANGE)).isOne();
        awaitReleasedMemory();
    }

    @Test
    @ExpectsInternalErrors
    void aRequestWhoseHeadersCannotBeHandledIsRefused() throws Exception {
        idsBeforeFailure = 0;
        assertInternalError(post("/v1/completions"), "may-have-run");
    }

    @Test
    @ExpectsInternalErrors
    void aRequestWhoseBodyCannotBeHandledIsRefusedAsNotRun() throws Exception {
        idsBeforeFailure = 1;
        assertInternalError(post("/v1/completions"), "not-run");
    }

    @Test
    @ExpectsInternalErrors
    void aServiceCallWhoseBodyCannotBeHandledIsRefusedAsNotRun() throws Exception {
        idsBeforeFailure = 1;
        assertInternalError(post("/services/none/x"), "not-run");
    }

    @Test
    @ExpectsInternalErrors
    void aRefusalReachesItsCallerAlthoughItsObserverThrows() throws Exception {
        areObserversFailing = true;
        assertThat(post("/v1/completions")).startsWith("HTTP/1.0 404 ").contains("\"reason\":\"unknown-model\"");
        assertThat(control.errors().count(InternalErrors.Part.OBSERVER)).isOne();
        awaitReleasedMemory();
    }

    /** Guards against 404 for a model of the configuration that the caller was authenticated under. */
    @Test
    void aModelIsLookedUpInTheConfigurationOfTheKey() throws Exception {
        configs.add(config(2, Map.of("other", new ModelSpec("other", 8, 1, 1, 1))));
        assertThat(post("/v1/completions")).startsWith("HTTP/1.0 404 ");
        assertThat(post("/v1/completions")).startsWith("HTTP/1.0 400 ").contains("context limit");
    }

    /** Guards against 401 for a proper request at a router that has just started. */
    @Test
    void aRequestBeforeTheFirstConfigurationIsRefusedAsNotRun() throws Exception {
        configs.clear();
        configs.add(CallerConfig.empty());
        assertThat(post("/v1/completions"))
                .startsWith("HTTP/1.0 503 ")
                .contains("\"verdict\":\"not-run\"")
                .containsIgnoringCase("retry-after: 1");
    }

    private static Contract contract() {
        return new Contract(
                "app",
                List.of(KeyHash.of(KEY)),
                1,
                new Limits(1, 1, 1),
                Map.of(Rank.INTERACTIVE, new RankTerms(WAIT_MS, 0)),
                Rank.INTERACTIVE,
                Set.of(),
                Set.of());
    }

    private final class FailingListener implements ExchangeListener {

        @Override
        public void finished(RequestSpec request, DeliveryStats delivery, Optional<Refusal> refusal) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void rejected(Rejection rejection) {
            if (areObserversFailing) {
                throw new IllegalStateException("no count of " + rejection);
            }
        }
    }
}
