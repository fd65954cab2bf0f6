package io.radishwinch.server.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Rank;
import io.radishwinch.server.route.Route;
import io.radishwinch.server.route.RouteKind;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against fingerprints that take different requests for one. */
class RequestTargetTest {

    private static Route route(String name) {
        return new Route(
                name, "h", "/look", RouteKind.REPEATABLE, 1_000, 0, 0, Rank.INTERACTIVE, List.of(), 2, false, false);
    }

    /** Guards against a look-up that crashes endpoints and quarantines all look-ups of its caller. */
    @Test
    void requestsThatDifferInRouteMethodPathOrQueryHaveDifferentTargets() {
        assertThat(Stream.of(
                        ProxyServer.target(route("a"), HttpMethod.GET, "/look", null),
                        ProxyServer.target(route("a"), HttpMethod.GET, "/look", "id=1"),
                        ProxyServer.target(route("a"), HttpMethod.GET, "/look", "id=2"),
                        ProxyServer.target(route("a"), HttpMethod.HEAD, "/look", "id=1"),
                        ProxyServer.target(route("a"), HttpMethod.GET, "/look/id=1", null),
                        ProxyServer.target(route("b"), HttpMethod.GET, "/look", "id=1")))
                .doesNotHaveDuplicates();
    }
}
