package io.radishwinch.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishwinch.http.StrictClientCodec;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;
import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Client of the routers' admin API; tries the routers in order until one responds. */
final class AdminClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final long CALL_TIMEOUT_MS = 30_000;

    private final Vertx vertx;
    private final WebClient client;
    private final List<URI> routers;
    private final String key;

    /**
     * Creates a client.
     *
     * @param settings routers and trust file
     * @param trustFile path of the trust file, or an empty string
     * @param key operator's key
     */
    AdminClient(ToolSettings settings, String trustFile, String key) {
        this.routers = settings.routers().stream()
                .map(router -> routerUri(router, !trustFile.isEmpty()))
                .toList();
        if (routers.isEmpty()) {
            throw new CliException(
                    ExitCode.USAGE, "no router is given", "use --router host:port, or routers in the tool settings");
        }
        this.key = key;
        this.vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        WebClientOptions options = new WebClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setVerifyHost(true)
                .setFollowRedirects(false)
                .setUserAgent("radishwinch");
        if (!trustFile.isEmpty()) {
            options.setTrustOptions(new PemTrustOptions().addCertPath(trustFile));
        }
        this.client = WebClient.wrap(
                vertx.httpClientBuilder()
                        .with(options)
                        .withConnectHandler(connection -> StrictClientCodec.install(connection, options))
                        .build(),
                options);
    }

    /**
     * Response of a router.
     *
     * @param status HTTP status
     * @param body JSON body
     */
    record AdminResponse(int status, JsonNode body) {
        boolean isOk() {
            return status / 100 == 2;
        }

        /** Converts an error response to an exception with the matching exit code. */
        CliException toException() {
            JsonNode error = body.path("error");
            String message = error.path("message").asText("the router responded with status " + status);
            ExitCode code =
                    switch (status) {
                        case 401, 403 -> ExitCode.NOT_ALLOWED;
                        case 409 -> ExitCode.CONFLICT;
                        case 422 -> ExitCode.INVALID;
                        default -> ExitCode.FAILED;
                    };
            return new CliException(code, message, error.path("hint").asText(""));
        }

        /**
         * Returns the body of a successful response.
         *
         * @throws CliException if the status is not 2xx
         */
        JsonNode bodyOrThrow() {
            if (!isOk()) {
                throw toException();
            }
            return body;
        }
    }

    /** Returns the number of configured routers. */
    int routerCount() {
        return routers.size();
    }

    /** Reads a resource from the first router that responds. */
    AdminResponse get(String path) {
        return call(HttpMethod.GET, path, -1, "");
    }

    /** Reads a resource that not every router has; queries the routers in order until one has it. */
    AdminResponse getFromAny(String path) {
        AdminResponse last = null;
        List<String> failures = new ArrayList<>();
        for (URI router : routers) {
            try {
                last = callRouter(router, HttpMethod.GET, path, -1, "");
                if (last.status() != 404) {
                    return last;
                }
            } catch (IOException e) {
                failures.add(router.getAuthority() + ": " + e.getMessage());
            }
        }
        if (last == null) {
            throw unreachableException(failures);
        }
        return last;
    }

    /**
     * Calls the first router that responds with a status other than 503. The expected version makes it safe to repeat a
     * change at the next router.
     *
     * @param version expected version, or -1 for none
     */
    AdminResponse call(HttpMethod method, String path, long version, String body) {
        List<String> failures = new ArrayList<>();
        AdminResponse unavailable = null;
        for (URI router : routers) {
            try {
                AdminResponse response = callRouter(router, method, path, version, body);
                if (response.status() != 503) {
                    return response;
                }
                unavailable = response;
            } catch (IOException e) {
                failures.add(router.getAuthority() + ": " + e.getMessage());
            }
        }
        if (unavailable != null) {
            return unavailable;
        }
        throw unreachableException(failures);
    }

    /** Returns a path segment with reserved characters encoded. */
    static String encodeSegment(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }

    private static CliException unreachableException(List<String> failures) {
        return new CliException(
                ExitCode.UNREACHABLE,
                "no router can be reached: " + String.join("; ", failures),
                "check the addresses and that the routers are running");
    }

    private AdminResponse callRouter(URI router, HttpMethod method, String path, long version, String body)
            throws IOException {
        HttpRequest<Buffer> request = client.request(method, router.getPort(), host(router), "/admin/v1" + path)
                .ssl(router.getScheme().equals("https"))
                .timeout(CALL_TIMEOUT_MS)
                .putHeader("Authorization", "Bearer " + key);
        if (version >= 0) {
            request.putHeader("If-Match", "\"" + version + "\"");
        }
        try {
            HttpResponse<Buffer> response = request.sendBuffer(Buffer.buffer(body))
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(2 * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            Buffer responseBody = response.body();
            AdminResponse result = new AdminResponse(
                    response.statusCode(),
                    responseBody == null ? JSON.nullNode() : JSON.readTree(responseBody.getBytes()));
            // A change without a document in its response still took effect, but a resource that was read has one.
            if (method == HttpMethod.GET && result.isOk() && !result.body().isObject()) {
                throw new IOException("the response contains no document");
            }
            return result;
        } catch (ExecutionException e) {
            throw new IOException(reason(e.getCause()), e);
        } catch (TimeoutException e) {
            throw new IOException("no response within " + 2 * CALL_TIMEOUT_MS / 1000 + " s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static String reason(Throwable failure) {
        String message = String.valueOf(failure.getMessage());
        return message.contains("refused")
                ? "connection refused"
                : message.lines().findFirst().orElse("failed");
    }

    private static String host(URI router) {
        return router.getHost().replace("[", "").replace("]", "");
    }

    /** Parses host:port or a URL; rejects plain HTTP to other machines, because it would expose the key. */
    private static URI routerUri(String router, boolean hasTrustFile) {
        URI uri = parse(router.contains("://") ? router : "https://" + router, router);
        boolean isLoopbackRouter = isLoopback(host(uri));
        if (!router.contains("://") && isLoopbackRouter && !hasTrustFile) {
            return parse("http://" + router, router);
        }
        if (uri.getScheme().equals("http") && !isLoopbackRouter) {
            throw new CliException(
                    ExitCode.USAGE, "plain HTTP to " + router + " would send the key unencrypted", "use https");
        }
        return uri;
    }

    private static URI parse(String text, String router) {
        URI uri;
        try {
            uri = URI.create(text);
        } catch (IllegalArgumentException e) {
            uri = null;
        }
        boolean isValid = uri != null
                && uri.getHost() != null
                && uri.getPort() > 0
                && (uri.getScheme().equals("http") || uri.getScheme().equals("https"));
        if (!isValid) {
            throw new CliException(ExitCode.USAGE, "invalid router address: " + router, "expected host:port");
        }
        return uri;
    }

    private static boolean isLoopback(String host) {
        return host.equals("localhost") || host.equals("::1") || host.matches("127(\\.[0-9]{1,3}){3}");
    }
}
