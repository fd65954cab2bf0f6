/**
 * Measurements of the router against the targets of the design page, and JMH benchmarks.
 *
 * <p>Not part of the router: no other module may depend on this package.
 */
package io.radishwinch.bench;
