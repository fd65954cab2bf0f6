package io.radishwinch.embedded;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.radishwinch.cli.Main;
import io.radishwinch.server.EmbeddedMode;
import io.radishwinch.standins.EngineStandIn;
import io.radishwinch.standins.StandInFleet;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs the quickstart on an embedded deployment.
 *
 * <p>Applies the example contracts, sends requests of all ranks, crashes an engine during a stream and writes the
 * evening report.
 */
public final class Quickstart implements EmbeddedMode {
    private static final String MODEL = StandInFleet.MODEL;
    private static final List<String> CALLERS =
            List.of("clinic-network", "app-members", "support-desk", "night-followups");
    private static final int STREAM_TOKENS = 120;
    private static final int KILL_AFTER_TOKENS = 30;
    private static final int BATCH_REQUESTS = 6;
    private static final long READY_TIMEOUT_MS = 15_000;
    private static final long POLL_INTERVAL_MS = 50;
    private static final String APP_KEY = "example-app-members";
    private static final String BATCH_KEY = "example-night-followups";

    private final PrintStream out = System.out;
    private int requestCount;
    private int failoverCount;

    /** Command-line arguments after {@code --embedded}. */
    static final class Arguments {
        @Parameter(names = "--examples", description = "directory with the contracts to apply")
        private String examples = "examples/quietnight";

        @Parameter(names = "--out", description = "file of the evening report")
        private String out = "out/evening-report.html";

        @Parameter(names = "--keep", description = "keep the deployment running")
        private boolean keep;

        @Parameter(names = "--log", description = "show log lines")
        private boolean log;
    }

    @Override
    public int run(List<String> args) throws Exception {
        Arguments arguments = new Arguments();
        try {
            JCommander.newBuilder().addObject(arguments).build().parse(args.toArray(String[]::new));
        } catch (ParameterException e) {
            System.err.println("radishwinchd --embedded: " + e.getMessage());
            return 2;
        }
        if (!arguments.log) {
            Logger.getLogger("").setLevel(Level.OFF);
        }
        try (EmbeddedDeployment deployment = new EmbeddedDeployment(2)) {
            return run(deployment, arguments);
        }
    }

    private int run(EmbeddedDeployment deployment, Arguments arguments) throws Exception {
        out.println("started a platform, " + deployment.fleet().engines().size() + " engines of 3 accelerator kinds, "
                + deployment.fleet().services().size() + " plain services and 2 routers on loopback");
        Path toolSettings = writeToolSettings(deployment);
        runOperatorTool(toolSettings, "model", "apply", arguments.examples + "/" + MODEL + ".yaml");
        runOperatorTool(toolSettings, "service", "apply", arguments.examples + "/" + StandInFleet.BILLING + ".yaml");
        runOperatorTool(toolSettings, "service", "apply", arguments.examples + "/" + StandInFleet.SHIPPING + ".yaml");
        waitUntil("the model is covered", () -> readStatus(toolSettings).contains("\"covered\":true"));
        for (String caller : CALLERS) {
            runOperatorTool(toolSettings, "contract", "apply", arguments.examples + "/" + caller + ".yaml");
        }
        int first = deployment.routers().get(0).callerPort();
        int second = deployment.routers().get(1).callerPort();
        CallerClient app = new CallerClient(APP_KEY);
        waitUntil("both routers serve the model", () -> servesModel(app, first) && servesModel(app, second));

        CallerClient.CompletionResult reference =
                app.streamCompletion(first, "interactive", MODEL, "how do I sleep", STREAM_TOKENS, n -> {});
        expect(
                reference.isComplete() && reference.tokens().size() == STREAM_TOKENS,
                "the response to an interactive stream is complete");
        CallerClient.CompletionResult resumed = streamWithEngineCrash(deployment, app, second);
        expect(
                resumed.isComplete() && resumed.tokens().equals(reference.tokens()),
                "the resumed response is complete and equal to the first");
        out.println("killed a stage after " + KILL_AFTER_TOKENS
                + " tokens; the response arrived complete and equal to the first");
        sendCharges(deployment, app, first, second);
        sendBatch(second);
        int duplicates = countDuplicates(deployment);
        writeReport(toolSettings, arguments.out);
        out.println("evening report: " + Path.of(arguments.out).toAbsolutePath());
        if (arguments.keep) {
            keepRunning(deployment, first);
        }
        out.println("quickstart: ok requests=" + requestCount + " failovers=" + failoverCount + " duplicates="
                + duplicates);
        return duplicates == 0 ? 0 : 1;
    }

    private boolean servesModel(CallerClient app, int port) {
        try {
            requestCount++;
            return app.requestCompletion(port, "interactive", MODEL, "ready?", 1)
                    .isComplete();
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private CallerClient.CompletionResult streamWithEngineCrash(
            EmbeddedDeployment deployment, CallerClient app, int port) throws IOException, InterruptedException {
        requestCount += 2;
        List<EngineStandIn> killed = new ArrayList<>();
        CallerClient.CompletionResult result =
                app.streamCompletion(port, "interactive", MODEL, "how do I sleep", STREAM_TOKENS, tokens -> {
                    if (tokens == KILL_AFTER_TOKENS) {
                        deployment.fleet().engines().stream()
                                .filter(engine -> engine.runningAttempts() > 0)
                                .findFirst()
                                .ifPresent(engine -> {
                                    engine.crash();
                                    killed.add(engine);
                                });
                    }
                });
        expect(killed.size() == 1, "a stage of the running stream was killed");
        failoverCount += killed.size();
        killed.forEach(EngineStandIn::restart);
        return result;
    }

    private void sendCharges(EmbeddedDeployment deployment, CallerClient app, int first, int second)
            throws IOException, InterruptedException {
        String path = "/services/" + StandInFleet.BILLING + "/charges";
        HttpResponse<String> charge = app.callService(first, path, "renewal-17", "{\"cents\":1900}");
        HttpResponse<String> repeated = app.callService(second, path, "renewal-17", "{\"cents\":1900}");
        requestCount += 2;
        expect(charge.statusCode() / 100 == 2, "the charge ran, status " + charge.statusCode() + " " + charge.body());
        expect(repeated.body().equals(charge.body()), "the repeated charge got the same response: " + repeated.body());
        int executions = deployment.fleet().service(StandInFleet.BILLING).executions("renewal-17");
        expect(executions == 1, "the charge ran once, not " + executions + " times");
        out.println("sent a charge twice, through both routers: it ran once and both got the same response");
    }

    private void sendBatch(int port) throws IOException, InterruptedException {
        CallerClient batch = new CallerClient(BATCH_KEY);
        for (int i = 0; i < BATCH_REQUESTS; i++) {
            requestCount++;
            expect(
                    batch.requestCompletion(port, "batch", MODEL, "follow-up " + i, 20)
                            .isComplete(),
                    "batch request " + i + " has a complete response");
        }
        out.println("completed " + BATCH_REQUESTS + " batch requests");
    }

    private static int countDuplicates(EmbeddedDeployment deployment) {
        int repeatedCharges = (int) deployment.fleet().service(StandInFleet.BILLING).executions().values().stream()
                .filter(count -> count > 1)
                .count();
        return repeatedCharges + deployment.fleet().ledger().violations().size();
    }

    /**
     * Writes the evening report. Waits for two report intervals first, because the report includes the day summaries
     * that the routers write at each interval.
     */
    private void writeReport(Path toolSettings, String file) throws IOException, InterruptedException {
        Thread.sleep(2 * EmbeddedDeployment.REPORT_INTERVAL_MS);
        Path parent = Path.of(file).toAbsolutePath().getParent();
        Files.createDirectories(parent);
        runOperatorTool(toolSettings, "report", "--day", LocalDate.now().toString(), "--out", file);
    }

    private void keepRunning(EmbeddedDeployment deployment, int port) throws InterruptedException {
        out.println();
        out.println("callers:   http://127.0.0.1:" + port);
        out.println("operators: http://127.0.0.1:" + deployment.routers().get(0).adminPort());
        out.println("  curl -N http://127.0.0.1:" + port + "/v1/completions -H 'Authorization: Bearer " + APP_KEY
                + "' -d '{\"model\":\"" + MODEL + "\",\"prompt\":\"good evening\",\"max_tokens\":20,\"stream\":true}'");
        out.println("  curl http://127.0.0.1:" + port + "/services/" + StandInFleet.BILLING
                + "/charges -H 'Authorization: Bearer " + APP_KEY
                + "' -H 'Idempotency-Key: demo-1' -d '{\"cents\":100}'");
        out.println("stop with Ctrl-C");
        new CountDownLatch(1).await();
    }

    private static Path writeToolSettings(EmbeddedDeployment deployment) throws IOException {
        Path directory = Files.createTempDirectory("radishwinch-quickstart");
        Path keyFile = directory.resolve("operator.key");
        Files.writeString(keyFile, EmbeddedDeployment.OPERATOR_KEY + "\n");
        Path settings = directory.resolve("tool.yaml");
        Files.writeString(
                settings,
                "routers: ['127.0.0.1:" + deployment.routers().get(0).adminPort() + "']\nkeyFile: " + keyFile + "\n");
        return settings;
    }

    private void runOperatorTool(Path toolSettings, String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int code = runTool(toolSettings, output, arguments);
        expect(
                code == 0,
                "radishwinch " + String.join(" ", arguments) + " ends with 0, not " + code + ": "
                        + output.toString(StandardCharsets.UTF_8));
        out.println("radishwinch " + String.join(" ", arguments));
    }

    private static String readStatus(Path toolSettings) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        runTool(toolSettings, output, "status", "--output", "json");
        return output.toString(StandardCharsets.UTF_8).replace(" ", "");
    }

    private static int runTool(Path toolSettings, ByteArrayOutputStream output, String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.add("--config");
        all.add(toolSettings.toString());
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        return Main.run(all.toArray(String[]::new), System.in, stream, stream);
    }

    private static void waitUntil(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        while (!condition.getAsBoolean()) {
            expect(System.currentTimeMillis() < deadlineMs, description + " within " + READY_TIMEOUT_MS + " ms");
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private static void expect(boolean condition, String description) {
        if (!condition) {
            throw new IllegalStateException("quickstart failed, unmet condition: " + description);
        }
    }
}
