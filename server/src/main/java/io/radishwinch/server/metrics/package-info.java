/** Counters and histograms of a router. */
package io.radishwinch.server.metrics;
