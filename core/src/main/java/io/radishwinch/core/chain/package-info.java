/**
 * Chain planning over layer ranges, the endpoint table it reads, and the throughput bound of a pool. Code of this
 * package performs no I/O, reads no clock and is used by the control thread only.
 */
package io.radishwinch.core.chain;
