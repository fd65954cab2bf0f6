package io.radishwinch.cli;

import io.radishwinch.config.contract.KeyHash;
import io.radishwinch.config.settings.Operator;
import io.radishwinch.server.admin.AdminApi;
import io.radishwinch.server.admin.FakeRouterControl;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Runs commands against the admin API of an in-memory router and records commands, output and calls. */
final class Transcript implements AutoCloseable {
    final FakeRouterControl control = new FakeRouterControl();
    final int port;

    private final Path directory;
    private final Vertx vertx = Vertx.vertx();
    private final StringBuffer log = new StringBuffer();
    private String key = "admin-key";

    Transcript(Path directory) throws Exception {
        this(directory, new HttpServerOptions());
    }

    Transcript(Path directory, HttpServerOptions options) throws Exception {
        this.directory = directory;
        List<Operator> operators = List.of(
                new Operator("vera", Operator.Role.VIEWER, KeyHash.of("viewer-key")),
                new Operator("ada", Operator.Role.ADMIN, KeyHash.of("admin-key")));
        Router router = new AdminApi(vertx, control, () -> operators).router();
        port = vertx.createHttpServer(options)
                .requestHandler(request -> {
                    record(request);
                    router.handle(request);
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS)
                .actualPort();
        write(".config/radishwinch/tool.yaml", "deployment: Quiet Night\nrouters: ['127.0.0.1:" + port + "']\n");
    }

    private void record(HttpServerRequest request) {
        String version = request.getHeader("If-Match");
        log.append("  -> ").append(request.method()).append(' ').append(request.uri());
        log.append(version == null ? "" : " If-Match: " + version).append('\n');
        request.response().headersEndHandler(v -> log.append("  <- ")
                .append(request.response().getStatusCode())
                .append('\n'));
    }

    Transcript withKey(String newKey) {
        key = newKey;
        return this;
    }

    void write(String file, String text) throws IOException {
        Path path = directory.resolve(file);
        Files.createDirectories(path.getParent());
        Files.writeString(path, text);
    }

    /** Runs a command, splits its arguments at spaces, and returns the exit code. */
    ExitCode run(String command) {
        log.append("$ radishwinch ").append(command).append('\n');
        Environment environment = new Environment(
                Map.of(Environment.KEY_VARIABLE, key),
                directory,
                directory,
                Clock.fixed(Instant.ofEpochMilli(FakeRouterControl.NOW_MS), ZoneOffset.UTC),
                new Random(7));
        ExitCode code = new Main(environment)
                .run(command.isEmpty() ? List.of() : List.of(command.split(" ")), stream(""), stream("(stderr) "));
        log.append("exit code ").append(code.code()).append("\n\n");
        return code;
    }

    private PrintStream stream(String prefix) {
        return new PrintStream(
                new ByteArrayOutputStream() {
                    @Override
                    public synchronized void flush() {
                        String text = toString(StandardCharsets.UTF_8);
                        int end = text.lastIndexOf('\n') + 1;
                        text.substring(0, end)
                                .lines()
                                .forEach(line -> log.append(prefix).append(line).append('\n'));
                        reset();
                        writeBytes(text.substring(end).getBytes(StandardCharsets.UTF_8));
                    }
                },
                true,
                StandardCharsets.UTF_8);
    }

    /** Returns the recorded text, with the port replaced because it differs between runs. */
    String text() {
        return log.toString().replace("127.0.0.1:" + port, "127.0.0.1:PORT");
    }

    @Override
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }
}
