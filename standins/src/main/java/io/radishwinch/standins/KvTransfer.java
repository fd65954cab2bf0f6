package io.radishwinch.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishwinch.core.model.LayerRange;
import io.radishwinch.standins.StageAttempt.StageRef;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;

/** Imports KV cache from other engines over HTTP. */
final class KvTransfer {
    private static final long TIMEOUT_MS = 500;
    private static final int HTTP_OK = 200;

    private final HttpClient client;
    private final KvStore kv;

    KvTransfer(HttpClient client, KvStore kv) {
        this.client = client;
        this.kv = kv;
    }

    /**
     * Imports the KV cache from the first source that holds it; the result is the number of tokens, or 0 if none does.
     */
    Future<Integer> fetchFromAny(List<StageRef> sources, String requestId, String model, LayerRange layers) {
        if (sources.isEmpty()) {
            return Future.succeededFuture(0);
        }
        return fetch(sources.get(0), requestId, model, layers)
                .recover(ignored -> fetchFromAny(sources.subList(1, sources.size()), requestId, model, layers));
    }

    /** Imports the KV cache from one source; the result is the number of tokens and fails if the source has none. */
    Future<Integer> fetch(StageRef source, String requestId, String model, LayerRange layers) {
        ObjectNode body = Json.object()
                .put("request", requestId)
                .put("model", model)
                .put("first", layers.first())
                .put("end", layers.end());
        RequestOptions target = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(source.host())
                .setPort(source.port())
                .setURI("/v1/kv/export")
                .setTimeout(TIMEOUT_MS);
        return client.request(target)
                .compose(request -> request.send(Json.write(body)))
                .compose(response -> response.statusCode() == HTTP_OK
                        ? response.body().map(ignored -> Integer.parseInt(response.getHeader("X-Kv-Tokens")))
                        : Future.failedFuture("KV export failed with status " + response.statusCode()))
                .onSuccess(tokens -> kv.put(requestId, layers, tokens));
    }
}
