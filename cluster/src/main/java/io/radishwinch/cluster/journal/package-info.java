/** At-most-once execution of non-repeatable requests. */
package io.radishwinch.cluster.journal;
