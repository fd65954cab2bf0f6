package io.radishwinch.server.engine;

import io.radishwinch.core.model.EngineOrder;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

/**
 * Port to model engines.
 *
 * <p>The {@code Uni}s fail with an {@link EndpointException}. A stream never fails: it ends with
 * {@link EngineEvent.Done} or {@link EngineEvent.Failed}.
 */
public interface EngineClient {

    /**
     * Opens a stream to the head of the chain.
     *
     * <p>Tokens of another request or epoch, and repeated ones, are discarded. A gap in the sequence or layers other
     * than those of the chain end the stream with {@link EngineEvent.Failed}.
     *
     * @param receiver takes the events, on the Vert.x context of the calling thread
     */
    EngineStream open(AttemptRequest request, EngineStream.Receiver receiver);

    /**
     * Opens a stream on subscription, with the subscriber's demand as back-pressure.
     *
     * <p>Cancelling the subscription cancels the attempt.
     */
    Multi<EngineEvent> stream(AttemptRequest request);

    /** Stops an attempt, on the head of its chain. An attempt that is not known there is no failure. */
    Uni<Void> cancel(EndpointAddress head, String requestId, int epoch);

    /**
     * Sends an order.
     *
     * @param fencingNumber number of the order, higher than that of all earlier orders to the engine
     * @return whether the engine accepted it; false if the number is too old
     */
    Uni<Boolean> sendOrder(EndpointAddress engine, long fencingNumber, EngineOrder order);

    /** Reads the load report of an engine or plain service. */
    Uni<EngineLoad> fetchLoad(EndpointAddress endpoint);

    /**
     * Reads changes of the prompt-prefix cache.
     *
     * @param from last sequence number seen, or 0
     */
    Uni<CacheEvents> fetchCacheEvents(EndpointAddress engine, long from);

    /** Reads KV cache, at most {@link #MAX_KV_BYTES} bytes. */
    Uni<byte[]> exportKv(EndpointAddress engine, KvRange range);

    /**
     * Lets an engine import KV cache from another one.
     *
     * @return number of tokens imported
     */
    Uni<Integer> importKv(EndpointAddress engine, KvRange range, EndpointAddress source);

    /** Largest KV cache that passes through the router, in bytes. */
    int MAX_KV_BYTES = 16 << 20;
}
