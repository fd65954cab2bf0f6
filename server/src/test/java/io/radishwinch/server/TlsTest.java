package io.radishwinch.server;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.config.settings.RouterSettings;
import io.radishwinch.config.settings.SettingKey;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against renewed certificates that take effect only after a restart, and against peers without a certificate.
 */
class TlsTest {
    private static final Path FILES = Path.of("src/test/resources/tls");

    @TempDir
    Path directory;

    private TestDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new TestDeployment(0);
        installCertificate("first");
    }

    @AfterEach
    void stop() throws Exception {
        deployment.close();
    }

    private void installCertificate(String name) throws IOException {
        for (String ending : new String[] {".pem", ".key"}) {
            Files.copy(FILES.resolve(name + ending), file(ending), StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private Path file(String ending) {
        return directory.resolve("router" + ending);
    }

    private RouterSettings withTls(RouterSettings settings) {
        return settings.with(SettingKey.CALLER_TLS_CERT_FILE, file(".pem"))
                .with(SettingKey.CALLER_TLS_KEY_FILE, file(".key"))
                .with(SettingKey.PEER_TLS_CERT_FILE, file(".pem"))
                .with(SettingKey.PEER_TLS_KEY_FILE, file(".key"))
                .with(SettingKey.PEER_TLS_CA_FILE, FILES.resolve("ca.pem"))
                .with(SettingKey.TLS_RELOAD_MS, 50);
    }

    @Test
    void changedCertificateIsServedWithoutRestart() throws Exception {
        RouterProcess router = deployment.startRouter("router-1", this::withTls);
        assertThat(servedName(router.callerPort())).contains("CN=first");
        installCertificate("second");
        TestDeployment.waitUntil(() -> servedName(router.callerPort()).contains("CN=second"));
    }

    private static String servedName(int port) {
        try {
            SSLContext context = SSLContext.getInstance("TLS");
            context.init(null, new TrustManager[] {new AnyCertificate()}, null);
            try (SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port)) {
                X509Certificate served = (X509Certificate) socket.getSession().getPeerCertificates()[0];
                return served.getSubjectX500Principal().getName();
            }
        } catch (Exception e) {
            return "";
        }
    }

    @Test
    void onlyRoutersWithCertificatesOfTheSameCaConnect() throws Exception {
        RouterProcess first = deployment.startRouter("router-1", this::withTls);
        RouterProcess second = deployment.startRouter("router-2", this::withTls);
        TestDeployment.waitUntil(() -> first.liveRouters() == 2 && second.liveRouters() == 2);
        deployment.startRouter("router-plain");
        try (Socket socket = new Socket("127.0.0.1", first.peerPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(new byte[64]);
            assertThat(isClosedByPeer(socket))
                    .as("the connection without a certificate is closed")
                    .isTrue();
        }
        assertThat(first.liveRouters()).isEqualTo(2);
    }

    /** Returns whether the peer closes the connection, possibly after a TLS alert. */
    private static boolean isClosedByPeer(Socket socket) {
        try {
            while (socket.getInputStream().read() >= 0) {
                // Skips the bytes of the alert.
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Trusts any certificate, because the test checks the subject of the served one. */
    private static final class AnyCertificate implements X509TrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String authType) {}

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String authType) {}

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
