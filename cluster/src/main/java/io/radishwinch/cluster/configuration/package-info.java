/** The configuration in force, which never reverts. */
package io.radishwinch.cluster.configuration;
