/** The configuration in effect at a router. Versions never decrease, and invalid objects never take effect. */
package io.radishwinch.cluster.configuration;
