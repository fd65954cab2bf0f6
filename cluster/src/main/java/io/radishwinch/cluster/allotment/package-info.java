/** Shares of the limits that all routers enforce together. */
package io.radishwinch.cluster.allotment;
