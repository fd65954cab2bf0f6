package io.radishwinch.server.peer;

import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.util.Optional;

/**
 * Files for mutual TLS between routers.
 *
 * @param certFile PEM certificate chain of this router
 * @param keyFile PEM private key of this router
 * @param caFile PEM certificates of the CAs that sign the certificates of peers
 */
public record PeerTls(String certFile, String keyFile, String caFile) {

    /** Returns the TLS files from the settings, or empty if peers use plain TCP. */
    public static Optional<PeerTls> of(RouterSettings settings) {
        String certFile = settings.text(SettingKey.PEER_TLS_CERT_FILE);
        if (certFile.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new PeerTls(
                certFile, settings.text(SettingKey.PEER_TLS_KEY_FILE), settings.text(SettingKey.PEER_TLS_CA_FILE)));
    }

    /** Returns options of a server that accepts only peers with a certificate signed by the CA. */
    static NetServerOptions serverOptions(Optional<PeerTls> tls, int idleTimeoutS) {
        NetServerOptions options = new NetServerOptions().setTcpNoDelay(true).setIdleTimeout(idleTimeoutS);
        tls.ifPresent(files -> options.setSsl(true)
                .setKeyCertOptions(files.keyCertOptions())
                .setTrustOptions(files.trustOptions())
                .setClientAuth(ClientAuth.REQUIRED));
        return options;
    }

    /**
     * Returns options of a client. Peers are addressed by IP address, so certificates are verified against the CA only,
     * without their host names.
     */
    static NetClientOptions clientOptions(Optional<PeerTls> tls, int connectTimeoutMs, int idleTimeoutS) {
        NetClientOptions options = new NetClientOptions().setTcpNoDelay(true).setIdleTimeout(idleTimeoutS);
        options.setConnectTimeout(connectTimeoutMs);
        tls.ifPresent(files -> options.setSsl(true)
                .setHostnameVerificationAlgorithm("")
                .setKeyCertOptions(files.keyCertOptions())
                .setTrustOptions(files.trustOptions()));
        return options;
    }

    /** Returns options that make a running server reload the files. */
    ServerSSLOptions reloadedServerOptions() {
        return new ServerSSLOptions()
                .setKeyCertOptions(keyCertOptions())
                .setTrustOptions(trustOptions())
                .setClientAuth(ClientAuth.REQUIRED);
    }

    /** Returns options that make a running client reload the files. */
    ClientSSLOptions reloadedClientOptions() {
        return new ClientSSLOptions()
                .setHostnameVerificationAlgorithm("")
                .setKeyCertOptions(keyCertOptions())
                .setTrustOptions(trustOptions());
    }

    private PemKeyCertOptions keyCertOptions() {
        return new PemKeyCertOptions().addCertPath(certFile).addKeyPath(keyFile);
    }

    private PemTrustOptions trustOptions() {
        return new PemTrustOptions().addCertPath(caFile);
    }
}
