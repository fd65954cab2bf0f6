/**
 * At-most-once execution of non-repeatable requests. The journal never runs requests itself; it grants and records
 * runs.
 */
package io.radishwinch.cluster.journal;
