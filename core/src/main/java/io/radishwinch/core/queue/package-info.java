/**
 * Request queues, which order requests of different ranks, callers and pools.
 *
 * <p>Queues decide only the order. Whether a request can be dispatched is decided by the predicate of the caller.
 */
package io.radishwinch.core.queue;
