/** Exchange of the load that the routers put on the endpoints. */
package io.radishwinch.cluster.load;
