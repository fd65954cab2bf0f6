/**
 * Retry decisions, retry budgets and backoff.
 *
 * <p>Classes of this package decide whether and when an attempt is retried, but do not start attempts.
 */
package io.radishwinch.core.retry;
