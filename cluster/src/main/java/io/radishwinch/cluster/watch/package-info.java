/** Election of the routers that watch the platform on behalf of their data centre. */
package io.radishwinch.cluster.watch;
