package io.radishwinch.server.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.config.settings.Operator;
import io.radishwinch.core.model.Rank;
import io.radishwinch.report.DayRecorder;
import io.radishwinch.report.DaySummary;
import io.radishwinch.report.DaySummaryCodec;
import io.radishwinch.report.RequestOutcome;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.ZoneOffset;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against unauthorized changes, undetected write conflicts, and error responses without a remedy. */
class AdminApiTest {
    private static final String CONTRACT = "schema: contract/v1\ncaller: app-members\n";
    private static final long TIMEOUT_MS = 2_000;
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static Vertx vertx;

    private final FakeRouterControl control = new FakeRouterControl();
    private int port;

    @BeforeAll
    static void startVertx() {
        vertx = Vertx.vertx();
    }

    @AfterAll
    static void stopVertx() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @BeforeEach
    void startServer() throws Exception {
        List<Operator> operators = List.of(
                new Operator("vera", Operator.Role.VIEWER, KeyHash.of("viewer-key")),
                new Operator("otto", Operator.Role.OPERATOR, KeyHash.of("operator-key")),
                new Operator("ada", Operator.Role.ADMIN, KeyHash.of("admin-key")));
        HttpServer server = vertx.createHttpServer()
                .requestHandler(new AdminApi(vertx, control, () -> operators, TIMEOUT_MS).router());
        port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
    }

    private record Response(int status, JsonNode body, String text) {
        String error(String field) {
            return body.path("error").path(field).asText();
        }
    }

    private Response call(String method, String path, String key, String version, String body) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (key != null) {
            request.header("Authorization", "Bearer " + key);
        }
        if (version != null) {
            request.header("If-Match", version);
        }
        HttpResponse<String> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
        boolean isJson =
                response.headers().firstValue("Content-Type").orElse("").contains("json");
        return new Response(
                response.statusCode(), isJson ? JSON.readTree(response.body()) : JSON.nullNode(), response.body());
    }

    private Response put(String key, String version, String body) throws Exception {
        return call("PUT", "/admin/v1/contracts/app-members", key, version, body);
    }

    @Test
    void onlyHealthAndReadinessNeedNoKey() throws Exception {
        assertThat(call("GET", "/healthz", null, null, "").status()).isEqualTo(200);
        assertThat(call("GET", "/readyz", null, null, "").status()).isEqualTo(200);
        for (String path : new String[] {"/metrics", "/admin/v1/status", "/admin/v1/settings", "/admin/v1/contracts"}) {
            assertThat(call("GET", path, null, null, "").status()).isEqualTo(401);
            assertThat(call("GET", path, "wrong", null, "").error("code")).isEqualTo("unknown-key");
            assertThat(call("GET", path, "viewer-key", null, "").status()).isEqualTo(200);
        }
    }

    @Test
    void readinessReportsWhyARouterIsNotReady() throws Exception {
        control.notReadyReason = java.util.Optional.of("draining");
        Response response = call("GET", "/readyz", null, null, "");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.body().path("reason").asText()).isEqualTo("draining");
    }

    @Test
    void eachChangeRequiresItsRole() throws Exception {
        assertThat(put("viewer-key", "0", CONTRACT).status()).isEqualTo(403);
        assertThat(call("POST", "/admin/v1/vms/vm-17/drain", "viewer-key", null, "")
                        .status())
                .isEqualTo(403);
        Response created = put("operator-key", "0", CONTRACT);
        assertThat(created.status()).isEqualTo(200);
        String version = created.body().path("version").asText();
        String path = "/admin/v1/contracts/app-members";
        assertThat(call("DELETE", path, "operator-key", version, "").status()).isEqualTo(403);
        assertThat(call("DELETE", path, "admin-key", version, "").status()).isEqualTo(200);
        assertThat(call("DELETE", path, "admin-key", version, "").status()).isEqualTo(404);
    }

    @Test
    void aConflictNamesTheOperatorAndTimeOfTheOtherChange() throws Exception {
        long seen = control.store(ObjectKind.CONTRACT, "app-members", CONTRACT, "otto");
        control.store(ObjectKind.CONTRACT, "app-members", CONTRACT + "weight: 2\n", "dana");
        Response response = put("operator-key", Long.toString(seen), CONTRACT + "weight: 3\n");
        assertThat(response.status()).isEqualTo(409);
        assertThat(response.error("message"))
                .isEqualTo("contract app-members was changed to version 102 by dana at 2026-12-03T17:59:00Z; you saw"
                        + " version 101");
        assertThat(response.body().at("/error/winner/changedBy").asText()).isEqualTo("dana");
    }

    @Test
    void aChangeWithoutAValidExpectedVersionIsRejected() throws Exception {
        assertThat(put("operator-key", null, CONTRACT).status()).isEqualTo(428);
        assertThat(put("operator-key", "-1", CONTRACT).status()).isEqualTo(400);
        assertThat(put("operator-key", "x", CONTRACT).status()).isEqualTo(400);
    }

    @Test
    void errorsInADocumentNameLineAndPath() throws Exception {
        Response response = put("operator-key", "0", CONTRACT + "wieght: 2\n");
        assertThat(response.status()).isEqualTo(422);
        assertThat(response.body().at("/error/errors/0/path").asText()).isEqualTo("$.wieght");
        assertThat(response.body().at("/error/errors/0/line").asInt()).isEqualTo(3);
        assertThat(put("operator-key", "0", CONTRACT.replace("app-members", "other"))
                        .error("message"))
                .contains("the path names app-members but the document names other");
    }

    @Test
    void aFloorAboveTheThroughputBoundIsRejectedWithItsPath() throws Exception {
        String contract = CONTRACT + "ranks:\n  interactive: {floorTokensPerS: 1500}\n";
        Response response = put("operator-key", "0", contract);
        assertThat(response.status()).isEqualTo(422);
        assertThat(response.body().at("/error/errors/0/path").asText())
                .isEqualTo("$.ranks.interactive.floorTokensPerS");
        assertThat(call("PUT", "/admin/v1/contracts/app-members?allowFloors=true", "operator-key", "0", contract)
                        .status())
                .isEqualTo(200);
    }

    @Test
    void aFloorIsAcceptedWithAWarningWhileNoEndpointIsLive() throws Exception {
        control.boundTokensPerS.clear();
        Response response = put("operator-key", "0", CONTRACT + "ranks:\n  interactive: {floorTokensPerS: 1500}\n");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body().at("/warnings/0/message").asText()).contains("no live endpoint");
    }

    @Test
    void aContractWithAnUnknownModelOrServiceIsAcceptedWithAWarning() throws Exception {
        control.store(ObjectKind.MODEL, "dreamcoach-24l", "", "dana");
        Response response =
                put("operator-key", "0", CONTRACT + "models: [dreamcoach-24l, dreamcoach]\nservices: [orders]\n");
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body().at("/warnings/0/path").asText()).isEqualTo("$.models");
        assertThat(response.body().at("/warnings/0/message").asText()).contains("dreamcoach is not configured");
        assertThat(response.body().at("/warnings/1/message").asText()).contains("orders is not configured");
        assertThat(response.body().path("warnings")).hasSize(2);
    }

    @Test
    void floorsThatExceedTheBoundOnlyInTotalCauseAWarning() throws Exception {
        control.store(
                ObjectKind.CONTRACT,
                "clinic",
                "schema: contract/v1\ncaller: clinic\nranks:\n  batch: {floorTokensPerS: 700}\n",
                "dana");
        String contract = CONTRACT + "ranks:\n  interactive: {floorTokensPerS: 400}\n";
        Response response = call("POST", "/admin/v1/contracts/app-members/check", "viewer-key", null, contract);
        assertThat(response.status()).isEqualTo(200);
        assertThat(response.body().at("/warnings/0/message").asText()).contains("1,100 tokens/s is promised");
    }

    @Test
    void aBodyAboveTheSizeLimitIsRejected() throws Exception {
        Response response = put("operator-key", "0", "#".repeat(AdminApi.MAX_BODY_BYTES + 1));
        assertThat(response.status()).isEqualTo(413);
        assertThat(response.error("code")).isEqualTo("too-large");
    }

    @Test
    void summariesOfAllRoutersAreMerged() throws Exception {
        for (String router : new String[] {"r-1", "r-2"}) {
            DayRecorder recorder = new DayRecorder(router, ZoneOffset.UTC, FakeRouterControl.NOW_MS);
            recorder.record(RequestOutcome.builder("q-" + router, "app-members", Rank.INTERACTIVE, "m")
                    .completed(true, FakeRouterControl.NOW_MS));
            control.summaries.add(recorder.summary(FakeRouterControl.NOW_MS));
        }
        Response response = call("GET", "/admin/v1/days/2026-12-03", "viewer-key", null, "");
        DaySummary summary =
                DaySummaryCodec.decode(JSON.writeValueAsBytes(response.body().path("summary")));
        assertThat(summary.service("app-members", Rank.INTERACTIVE).offered()).isEqualTo(2);
        assertThat(call("GET", "/admin/v1/days/2026-12-04", "viewer-key", null, "")
                        .status())
                .isEqualTo(404);
        assertThat(call("GET", "/admin/v1/days/tomorrow", "viewer-key", null, "")
                        .status())
                .isEqualTo(400);
    }

    @Test
    void routerFailuresAndUnknownPathsReturnErrors() throws Exception {
        control.isFailing = true;
        assertThat(call("GET", "/admin/v1/status", "viewer-key", null, "").error("message"))
                .isEqualTo("the control thread is busy");
        assertThat(call("GET", "/admin/v1/nothing", "viewer-key", null, "").status())
                .isEqualTo(404);
        assertThat(call("GET", "/admin/v1/requests/q-8", "viewer-key", null, "").status())
                .isEqualTo(404);
        assertThat(call("GET", "/admin/v1/callers/nobody", "viewer-key", null, "")
                        .status())
                .isEqualTo(404);
        assertThat(call("POST", "/admin/v1/vms/vm-0/drain", "operator-key", null, "")
                        .status())
                .isEqualTo(404);
    }

    @Test
    void aRequestToAnUnresponsiveRouterTimesOut() throws Exception {
        control.isUnresponsive = true;
        Response response = call("GET", "/admin/v1/status", "viewer-key", null, "");
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.error("message")).contains("may have taken effect");
    }

    @Test
    void aChangeStampSurvivesARoundTripThroughTheNonce() {
        ChangeStamp mark = new ChangeStamp("Dana O'Neil. (ops)", 5, "r.1");
        assertThat(ChangeStamp.fromNonce(mark.toNonce())).contains(mark);
        assertThat(ChangeStamp.fromNonce("op1.!.x.y")).isEmpty();
        assertThat(ChangeStamp.fromNonce("")).isEmpty();
    }
}
