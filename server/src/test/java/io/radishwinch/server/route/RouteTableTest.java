package io.radishwinch.server.route;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishwinch.core.model.Rank;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Guards against requests that are sent to the route of another host or path, or split contrary to the weights. */
class RouteTableTest {
    private static final RouteTable TABLE = new RouteTable(List.of(
            route("short", "a.example", "/x/", 1),
            route("long", "a.example", "/x/y/", 1),
            route("other", "b.example", "/", 1)));

    private static Route route(String name, String host, String prefix, int weight) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.REPEATABLE,
                1_000,
                100,
                0,
                Rank.BATCH,
                List.of(new Backend("service:one", weight), new Backend("service:two", 1)),
                2,
                false,
                false);
    }

    private static String find(String host, String path) {
        return TABLE.find(host, path).map(Route::name).orElse("none");
    }

    @Test
    void theLongestPrefixOfTheHostWins() {
        assertThat(find("a.example", "/x/y/z")).isEqualTo("long");
        assertThat(find("a.example", "/x/z")).isEqualTo("short");
        assertThat(find("A.example:8080", "/x/y/")).isEqualTo("long");
        assertThat(find("b.example", "/x/y/")).isEqualTo("other");
    }

    @Test
    void aPrefixMatchesWholeSegmentsOnly() {
        assertThat(find("a.example", "/xy/z")).isEqualTo("none");
        assertThat(find("a.example", "/x")).isEqualTo("none");
        assertThat(find("c.example", "/x/")).isEqualTo("none");
        assertThat(find("a.example", "")).isEqualTo("none");
    }

    @Test
    void requestsAreSplitByWeight() {
        Route route = route("split", "a.example", "/", 9);
        Map<String, Integer> counts = new TreeMap<>();
        for (int hash = -500; hash < 500; hash++) {
            counts.merge(route.poolFor(hash), 1, Integer::sum);
        }
        assertThat(counts).isEqualTo(Map.of("service:one", 900, "service:two", 100));
    }
}
