package io.radishwinch.server.engine;

import io.radishwinch.core.model.EngineOrder;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

/**
 * Client of model engines.
 *
 * <p>The {@code Uni}s fail with an {@link EndpointException}. A stream never fails: it ends with
 * {@link EngineEvent.Done} or {@link EngineEvent.Failed}.
 */
public interface EngineClient {

    /**
     * Opens a stream to the first stage of the chain.
     *
     * <p>Duplicate tokens and tokens of another request or epoch are discarded. A missing token, or a token that ran
     * other layers than those of the chain, ends the stream with {@link EngineEvent.Failed}.
     *
     * @param receiver receives the events on the Vert.x context of the calling thread
     */
    EngineStream open(AttemptRequest request, EngineStream.Receiver receiver);

    /**
     * Returns a stream that is opened on subscription and applies the subscriber's demand as back-pressure.
     *
     * <p>Cancelling the subscription cancels the attempt.
     */
    Multi<EngineEvent> stream(AttemptRequest request);

    /** Cancels an attempt at the first stage of its chain. Succeeds if the attempt is unknown there. */
    Uni<Void> cancel(EndpointAddress firstStage, String requestId, int epoch);

    /**
     * Sends an order.
     *
     * @param fencingToken token of the order, higher than that of all earlier orders to the engine
     * @return whether the engine accepted the order; false if the token is stale
     */
    Uni<Boolean> sendOrder(EndpointAddress engine, long fencingToken, EngineOrder order);

    /** Fetches the load report of an engine or plain service. */
    Uni<EngineLoad> fetchLoad(EndpointAddress endpoint);

    /**
     * Fetches changes of the prompt-prefix cache.
     *
     * @param from last received sequence number, or 0 if there is none
     */
    Uni<CacheEvents> fetchCacheEvents(EndpointAddress engine, long from);

    /** Exports KV cache; fails if it exceeds {@link #MAX_KV_BYTES} bytes. */
    Uni<byte[]> exportKv(EndpointAddress engine, KvRange range);

    /**
     * Makes an engine import KV cache from another one.
     *
     * @return number of imported tokens
     */
    Uni<Integer> importKv(EndpointAddress engine, KvRange range, EndpointAddress source);

    /** Maximum size of a KV cache that passes through the router, in bytes. */
    int MAX_KV_BYTES = 16 << 20;
}
