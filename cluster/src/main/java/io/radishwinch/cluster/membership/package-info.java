/**
 * Failure detection and membership of routers. Times and random numbers are passed in, so that runs are reproducible.
 */
package io.radishwinch.cluster.membership;
