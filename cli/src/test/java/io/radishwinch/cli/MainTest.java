package io.radishwinch.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.build.BuildIdentity;
import io.radishwinch.config.contract.ObjectKind;
import io.radishwinch.core.model.Rank;
import io.radishwinch.core.model.Reason;
import io.radishwinch.core.model.Verdict;
import io.radishwinch.report.DayRecorder;
import io.radishwinch.report.RequestOutcome;
import io.radishwinch.server.admin.FakeRouterControl;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.ZoneOffset;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against commands that change more than they print, changed exit codes, and errors without a hint. The
 * transcripts contain every call to the router.
 */
class MainTest {
    private static final String MEMBERS = "schema: contract/v1\ncaller: app-members\nweight: 1\n";

    @TempDir
    Path directory;

    private Transcript session;

    @BeforeEach
    void open() throws Exception {
        session = new Transcript(directory);
    }

    @AfterEach
    void close() throws Exception {
        session.close();
    }

    /** Guards against a tool that cannot say which build it is. */
    @Test
    void theVersionIsTheBuild() throws Exception {
        session.run("--version");
        assertThat(session.text()).contains("radishwinch " + BuildIdentity.ofProcess() + "\nexit code 0");
    }

    @Test
    void contractsAreCheckedComparedAppliedAndDeleted() throws Exception {
        session.write("fleet/app-members.yaml", MEMBERS);
        session.write("fleet/support-desk.yaml", "schema: contract/v1\ncaller: support-desk\n");
        session.write("fleet/model.yaml", "schema: model/v1\nname: dreamcoach-24l\nlayerCount: 12\n");
        session.run("contract validate fleet");
        session.run("contract diff fleet");
        session.run("contract apply fleet");
        session.run("contract apply fleet");
        session.run("model apply fleet --output json");
        session.write("fleet/app-members.yaml", MEMBERS.replace("weight: 1", "weight: 2"));
        session.run("contract diff fleet/app-members.yaml");
        session.run("contract apply fleet/app-members.yaml");
        session.run("contract get app-members");
        session.run("contract list");
        session.run("contract delete support-desk");
        session.run("contract get support-desk");
        Approvals.verify(session.text());
    }

    @Test
    void invalidDocumentOrUndeliverableFloorPreventsAllChanges() throws Exception {
        session.write("fleet/a.yaml", MEMBERS);
        session.write("fleet/b.yaml", "schema: contract/v1\ncaller: clinic\nranks:\n  interactive: {timeoutMs: 30s}\n");
        session.run("contract apply fleet");
        session.write(
                "fleet/b.yaml", "schema: contract/v1\ncaller: clinic\nranks:\n  batch: {floorTokensPerS: 5000}\n");
        session.run("contract validate fleet");
        session.run("contract apply fleet");
        session.run("contract list");
        session.run("contract apply fleet --allow-floors");
        Approvals.verify(session.text());
    }

    @Test
    void conflictNamesTheOtherChange() throws Exception {
        session.write("c/app-members.yaml", MEMBERS);
        session.write("c/clinic.yaml", "schema: contract/v1\ncaller: clinic\n");
        long seen = session.control.store(ObjectKind.CONTRACT, "app-members", MEMBERS + "services: []\n", "otto");
        session.control.store(ObjectKind.CONTRACT, "app-members", MEMBERS.replace("weight: 1", "weight: 5"), "dana");
        assertThat(session.run("contract apply c/app-members.yaml --expect-version " + seen))
                .isEqualTo(ExitCode.CONFLICT);
        session.run("contract delete app-members --expect-version " + seen);
        session.run("contract apply c --expect-version 3");
        Approvals.verify(session.text());
    }

    @Test
    void statusAndExplanationsPrintTheSummaryFirst() {
        session.control.store(ObjectKind.CONTRACT, "app-members", MEMBERS, "dana");
        session.run("status");
        session.run("explain request q-7");
        session.run("explain request q-8");
        session.run("explain caller app-members");
        session.run("explain caller nobody");
        session.run("drain vm-17");
        session.run("explain request q-7 --output json");
        Approvals.verify(session.text());
    }

    @Test
    void theReportIsPrintedOrWrittenToAFile() throws Exception {
        DayRecorder recorder = new DayRecorder("r-1", ZoneOffset.UTC, FakeRouterControl.NOW_MS - 3_600_000);
        for (long atMs = FakeRouterControl.NOW_MS - 3_600_000; atMs < FakeRouterControl.NOW_MS; atMs += 60_000) {
            recorder.tick(atMs);
        }
        for (int i = 0; i < 50; i++) {
            RequestOutcome.Builder outcome = RequestOutcome.builder("q-" + i, "app-members", Rank.INTERACTIVE, "m")
                    .withFirstTokenMs(300)
                    .withTokenIntervalsMs(30, 50)
                    .withTokens(10, 20);
            recorder.record(
                    i % 10 == 0
                            ? outcome.failed(Verdict.NOT_RUN, Reason.NO_CAPACITY, FakeRouterControl.NOW_MS)
                            : outcome.completed(true, FakeRouterControl.NOW_MS));
        }
        session.control.summaries.add(recorder.summary(FakeRouterControl.NOW_MS));
        session.control.store(ObjectKind.CONTRACT, "app-members", MEMBERS, "dana");
        session.run("report --text");
        session.run("report --day 2026-12-03 --out day.html");
        assertThat(Files.readString(directory.resolve("day.html"))).startsWith("<!DOCTYPE html>");
        session.run("report --day 2026-12-01");
        session.run("report --day yesterday");
        session.run("report --output json --out day.html");
        Approvals.verify(session.text());
    }

    @Test
    void eachKindOfFailureHasItsExitCode() throws Exception {
        session.write("bad.yaml", "caller: {port: 99999}\nadmin: {host: 10.0.0.1}\n");
        session.write("good.yaml", "caller: {port: 9000}\n");
        session.run("settings check bad.yaml");
        session.run("settings check good.yaml");
        session.run("settings check missing.yaml");
        session.run("key new");
        session.run("");
        session.run("contract");
        session.run("contract aply x");
        session.run("contract get");
        session.run("status --output xml");
        session.run("status --router nowhere");
        session.run("status --router http://192.0.2.1:8081");
        session.run("status --router 127.0.0.1:1");
        session.run("status --key-file missing.key");
        session.run("status --trust-file missing.pem");
        session.withKey("wrong-key").run("status");
        session.withKey("viewer-key").run("drain vm-17");
        session.write("a.yaml", MEMBERS);
        session.run("contract apply a.yaml");
        Approvals.verify(session.text());
    }

    @Test
    void unreachableRouterIsSkipped() {
        String routers = "--router 127.0.0.1:1 --router 127.0.0.1:" + session.port;
        assertThat(session.run("contract list " + routers)).isEqualTo(ExitCode.OK);
        assertThat(session.run("explain request q-7 " + routers)).isEqualTo(ExitCode.OK);
        Approvals.verify(session.text());
    }

    /** Guards against a response that broke off and that is printed as the status of a router without pools. */
    @Test
    void aRouterWhoseResponseBreaksOffIsSkipped() {
        Vertx vertx = Vertx.vertx();
        for (String body : new String[] {"", "{\"routerId\":"}) {
            int port = vertx.createNetServer()
                    .connectHandler(socket ->
                            socket.handler(request -> socket.end(Buffer.buffer("HTTP/1.1 200 OK\r\n\r\n" + body))))
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join()
                    .actualPort();
            String router = " --router 127.0.0.1:" + port;
            assertThat(session.run("status" + router)).isEqualTo(ExitCode.UNREACHABLE);
            assertThat(session.run("status" + router + " --router 127.0.0.1:" + session.port))
                    .isEqualTo(ExitCode.OK);
        }
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    @Test
    void routerWithUntrustedCertificateDoesNotReceiveTheKey() throws Exception {
        Path tls = Path.of("src/test/resources/tls").toAbsolutePath();
        HttpServerOptions options = new HttpServerOptions()
                .setSsl(true)
                .setKeyCertOptions(new PemKeyCertOptions()
                        .addCertPath(tls.resolve("cert.pem").toString())
                        .addKeyPath(tls.resolve("key.pem").toString()));
        try (Transcript secured = new Transcript(directory, options)) {
            String router = " --router https://127.0.0.1:" + secured.port;
            assertThat(secured.run("contract list" + router)).isEqualTo(ExitCode.UNREACHABLE);
            assertThat(secured.run("contract list --trust-file " + tls.resolve("cert.pem") + router))
                    .isEqualTo(ExitCode.OK);
            assertThat(secured.text().split("-> GET", -1)).hasSize(2);
        }
    }

    @Test
    void argumentWithAnAtSignIsNotExpandedFromAFile() throws Exception {
        session.write("secret", "status");
        session.run("contract get @" + directory.resolve("secret"));
        assertThat(session.text()).contains("there is no contract @").doesNotContain("no contract status");
    }

    @Test
    void everyCommandHasHelp() {
        session.run("--help");
        session.run("contract --help");
        session.run("contract apply --help");
        session.run("report --help");
        for (String command : new String[] {
            "contract validate",
            "contract diff",
            "contract get",
            "contract list",
            "contract delete",
            "explain request",
            "explain caller",
            "drain",
            "status",
            "settings check",
            "key new"
        }) {
            assertThat(session.run(command + " --help")).isEqualTo(ExitCode.OK);
        }
        assertThat(session.text()).doesNotContain("exit code 2");
        String text = session.text();
        Approvals.verify(text.substring(0, text.indexOf("$ radishwinch contract validate")));
    }
}
