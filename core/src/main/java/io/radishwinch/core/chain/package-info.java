/** Chain planning over layer ranges and the achievable throughput of a pool. */
package io.radishwinch.core.chain;
