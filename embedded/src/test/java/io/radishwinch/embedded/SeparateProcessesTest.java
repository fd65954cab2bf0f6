package io.radishwinch.embedded;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.server.Main;
import io.radishwinch.standins.PlatformStandIn;
import io.radishwinch.standins.StandInFleet;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against routers that, as separate processes, do not start from a settings file, repeat a charge after SIGKILL
 * or interrupt a stream on SIGTERM.
 */
class SeparateProcessesTest {
    private static final String CALLER_KEY = "test-key";
    private static final String CHARGES_PATH = "/services/" + StandInFleet.BILLING + "/charges";
    private static final int MAX_POLLS = 600;

    @TempDir
    Path directory;

    private final Vertx vertx = Vertx.vertx();
    private final List<Process> processes = new ArrayList<>();
    private final CallerClient caller = new CallerClient(CALLER_KEY);
    private StandInFleet fleet;

    @BeforeEach
    void start() {
        fleet = StandInFleet.start(vertx);
        putConfiguration(
                "models/" + StandInFleet.MODEL, "schema: model/v1\nname: " + StandInFleet.MODEL + "\nlayerCount: 24\n");
        putConfiguration(
                "services/" + StandInFleet.BILLING,
                "schema: service/v1\nname: " + StandInFleet.BILLING
                        + "\noperations: [{method: POST, pathPrefix: /charges, repeatable: false}]\n");
        putConfiguration(
                "contracts/app",
                "schema: contract/v1\ncaller: app\nkeyHashes: ['sha256:" + KeyHash.of(CALLER_KEY)
                        + "']\nranks: {interactive: {}, account-action: {}}\n");
    }

    private void putConfiguration(String name, String text) {
        fleet.platform().putObject("config/" + name, text.getBytes(StandardCharsets.UTF_8));
    }

    @AfterEach
    void stop() {
        processes.forEach(Process::destroyForcibly);
        fleet.close();
        EmbeddedDeployment.await(vertx.close());
    }

    /** A started router process and its caller port. */
    private record Router(Process process, int port) {}

    private Router startRouter(String id) throws IOException {
        int port = freePort();
        int peerPort = freePort();
        Path settings = directory.resolve(id + ".yaml");
        Files.writeString(
                settings,
                "routerId: " + id + "\ncaller: {port: " + port + "}\nadmin: {port: " + freePort() + "}\npeer: {port: "
                        + peerPort + "}\nplatform: {port: " + fleet.platform().port()
                        + ", vmListIntervalMs: 200}\nlog: {format: json}\n");
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(id + ".log").toFile())
                .start();
        processes.add(process);
        fleet.platform().putVm(new PlatformStandIn.Vm(id, "dc-1", "127.0.0.1", peerPort, "router", "", false));
        return new Router(process, port);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private boolean servesModel(Router router) {
        try {
            return caller.requestCompletion(router.port(), "interactive", StandInFleet.MODEL, "ready?", 1)
                    .isComplete();
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            throw new AssertionError("interrupted while waiting for a response", e);
        }
    }

    private void waitUntil(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
            Thread.sleep(50);
        }
        assertThat(condition.getAsBoolean()).as(this::routerLogs).isTrue();
    }

    /** Returns the logs of the routers, to diagnose one that does not respond. */
    private String routerLogs() {
        StringBuilder logs = new StringBuilder();
        for (String id : List.of("router-1", "router-2")) {
            try {
                logs.append(id).append(":\n").append(Files.readString(directory.resolve(id + ".log")));
            } catch (IOException e) {
                logs.append("no log: ").append(e.getMessage()).append('\n');
            }
        }
        return logs.toString();
    }

    @Test
    void aKilledRouterLosesNoChargeAndAStoppedRouterInterruptsNoStream() throws Exception {
        Router killed = startRouter("router-1");
        Router stopped = startRouter("router-2");
        waitUntil(() -> servesModel(killed) && servesModel(stopped));

        HttpResponse<String> charge = caller.callService(killed.port(), CHARGES_PATH, "renewal-1", "{\"cents\":1900}");
        assertThat(charge.statusCode()).isEqualTo(200);
        killed.process().destroyForcibly().waitFor();
        HttpResponse<String> repeated =
                caller.callService(stopped.port(), CHARGES_PATH, "renewal-1", "{\"cents\":1900}");
        assertThat(repeated.body()).isEqualTo(charge.body());
        assertThat(fleet.service(StandInFleet.BILLING).executions("renewal-1")).isEqualTo(1);

        boolean[] isStopRequested = {false};
        CallerClient.CompletionResult result = caller.streamCompletion(
                stopped.port(), "interactive", StandInFleet.MODEL, "a long story", 300, tokens -> {
                    if (tokens >= 10 && !isStopRequested[0]) {
                        isStopRequested[0] = true;
                        stopped.process().destroy();
                    }
                });
        assertThat(result.isComplete()).isTrue();
        assertThat(result.tokens()).hasSize(300);
        assertThat(stopped.process().waitFor(60, TimeUnit.SECONDS)).isTrue();
        assertThat(stopped.process().exitValue()).isZero();
        assertThat(fleet.ledger().violations()).isEmpty();
        assertThat(routerLogs()).doesNotContain("\"level\":\"SEVERE\"", "Unhandled exception", "internal error, ");
    }
}
