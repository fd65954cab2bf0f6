/** Last-writer-wins entries that spread between routers. Values are opaque to this package. */
package io.radishwinch.cluster.gossip;
