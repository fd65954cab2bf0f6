/** The measurement run and the JMH benchmarks. */
package io.radishwinch.bench;
