/** Failure detection and membership of routers. */
package io.radishwinch.cluster.membership;
