package io.radishwinch.server;

import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.radishwinch.server.admin.AdminApi;
import io.radishwinch.server.admin.RouterControl;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;

/** Serves the operators' API over HTTP. */
final class AdminServer {
    private static final int IDLE_TIMEOUT_S = 60;

    private final RouterSettings settings;
    private final HttpServer server;

    AdminServer(Vertx vertx, RouterSettings settings, RouterControl control) {
        this.settings = settings;
        HttpServerOptions options = new HttpServerOptions().setIdleTimeout(IDLE_TIMEOUT_S);
        String certFile = settings.text(SettingKey.ADMIN_TLS_CERT_FILE);
        if (!certFile.isEmpty()) {
            options.setSsl(true)
                    .setKeyCertOptions(new PemKeyCertOptions()
                            .addCertPath(certFile)
                            .addKeyPath(settings.text(SettingKey.ADMIN_TLS_KEY_FILE)));
        }
        server = vertx.createHttpServer(options)
                .requestHandler(new AdminApi(vertx, control, settings::operators).router());
    }

    /** Reloads the certificate and key files; the result is whether the options changed. */
    Future<Boolean> reloadTls() {
        ServerSSLOptions options = new ServerSSLOptions()
                .setKeyCertOptions(new PemKeyCertOptions()
                        .addCertPath(settings.text(SettingKey.ADMIN_TLS_CERT_FILE))
                        .addKeyPath(settings.text(SettingKey.ADMIN_TLS_KEY_FILE)));
        return server.updateSSLOptions(options, true);
    }

    Future<Integer> start() {
        return server.listen(settings.integer(SettingKey.ADMIN_PORT), settings.text(SettingKey.ADMIN_HOST))
                .map(HttpServer::actualPort);
    }
}
