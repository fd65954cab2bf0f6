/** Last-writer-wins entries that spread between routers. */
package io.radishwinch.cluster.gossip;
