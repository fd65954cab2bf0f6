/** Request queues: order between ranks and callers. */
package io.radishwinch.core.queue;
