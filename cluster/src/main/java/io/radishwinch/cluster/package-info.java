/**
 * State that the routers of a fleet share: membership, gossip, configuration, shared limits and the at-most-once
 * journal.
 *
 * <p>State machines without threads, clocks or sockets of their own: callers pass the time and send the returned
 * frames.
 */
package io.radishwinch.cluster;
