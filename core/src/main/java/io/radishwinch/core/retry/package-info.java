/** Retry decisions, retry budgets and backoff. */
package io.radishwinch.core.retry;
