/** Counters and histograms of a router. Label values must not contain names of callers or endpoints. */
package io.radishwinch.server.metrics;
