package io.radishwinch.server;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.radishwinch.config.ConfigError;
import io.radishwinch.config.build.BuildIdentity;
import io.radishwinch.config.settings.RouterSettings;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;

/** Entry point of the {@code radishwinchd} program. */
public final class Main {
    private static final System.Logger LOG = System.getLogger(Main.class.getName());

    private Main() {}

    /** Command-line arguments of the program. */
    static final class Arguments {
        @Parameter(names = "--settings", description = "settings file (YAML); defaults apply if absent")
        private String settingsFile = "";

        @Parameter(names = "--check", description = "check the settings and exit with 0 or 3")
        private boolean check;

        @Parameter(names = "--embedded", description = "run a whole deployment with stand-ins on loopback")
        private boolean embedded;

        @Parameter(names = "--version", description = "print the build")
        private boolean isVersionRequested;

        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "show this text")
        private boolean help;

        @Parameter(description = "[arguments of --embedded]")
        private List<String> rest = new ArrayList<>();
    }

    /** Runs the program and ends the process with its exit code. */
    public static void main(String[] args) {
        int exitCode = ExitCode.FAILED;
        try {
            exitCode = run(args);
        } catch (Exception e) {
            System.err.println("radishwinchd: " + e.getMessage());
        }
        System.exit(exitCode);
    }

    static int run(String[] args) throws Exception {
        Arguments arguments = new Arguments();
        JCommander commander = JCommander.newBuilder()
                .programName("radishwinchd")
                .acceptUnknownOptions(List.of(args).contains("--embedded"))
                .addObject(arguments)
                .build();
        try {
            commander.parse(args);
        } catch (ParameterException e) {
            System.err.println("radishwinchd: " + e.getMessage() + "; see radishwinchd --help");
            return ExitCode.USAGE;
        }
        if (arguments.help) {
            commander.usage();
            return ExitCode.OK;
        }
        if (arguments.isVersionRequested) {
            System.out.println("radishwinchd " + BuildIdentity.ofProcess());
            return ExitCode.OK;
        }
        if (arguments.embedded) {
            arguments.rest.addAll(commander.getUnknownOptions());
            return runEmbedded(arguments.rest);
        }
        Either<List<ConfigError>, RouterSettings> settings = readSettings(arguments.settingsFile);
        if (settings.isLeft()) {
            settings.getLeft().forEach(error -> System.err.println(error));
            return ExitCode.INVALID_SETTINGS;
        }
        if (arguments.check) {
            System.out.println("the settings are valid");
            return ExitCode.OK;
        }
        return serve(settings.get());
    }

    private static Either<List<ConfigError>, RouterSettings> readSettings(String file) {
        if (file.isEmpty()) {
            return Either.right(RouterSettings.defaults());
        }
        try {
            return RouterSettings.read(file, Files.readString(Path.of(file)));
        } catch (IOException e) {
            return Either.left(List.of(new ConfigError(file, 1, "$", "unreadable file: " + e.getMessage(), "")));
        }
    }

    private static int runEmbedded(List<String> arguments) throws Exception {
        Optional<EmbeddedMode> mode = ServiceLoader.load(EmbeddedMode.class).findFirst();
        if (mode.isEmpty()) {
            System.err.println("radishwinchd: the embedded mode is not installed");
            return ExitCode.FAILED;
        }
        return mode.get().run(arguments);
    }

    private static int serve(RouterSettings settings) throws InterruptedException {
        LogSetup.apply(settings);
        RouterProcess router = new RouterProcess(settings);
        try {
            router.start().toCompletionStage().toCompletableFuture().get();
        } catch (ExecutionException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "failed to start: {0}",
                    e.getCause().getMessage());
            return ExitCode.FAILED;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "started; callers on port {0}, operators on {1}, routers on {2}; build {3}",
                Integer.toString(router.callerPort()),
                Integer.toString(router.adminPort()),
                Integer.toString(router.peerPort()),
                BuildIdentity.ofProcess());
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(router), "drain"));
        stopped.await();
        return ExitCode.OK;
    }

    /** Runs in the shutdown hook, so that the process exits after SIGTERM only when running requests have finished. */
    private static void drain(RouterProcess router) {
        try {
            router.drain().toCompletionStage().toCompletableFuture().get();
            router.close().toCompletionStage().toCompletableFuture().get();
            LOG.log(System.Logger.Level.INFO, "stopped; build {0}", BuildIdentity.ofProcess());
            Runtime.getRuntime().halt(ExitCode.OK);
        } catch (InterruptedException | ExecutionException e) {
            Runtime.getRuntime().halt(ExitCode.FAILED);
        }
    }
}
