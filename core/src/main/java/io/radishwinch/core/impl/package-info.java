/**
 * Implementation of the decision core over in-memory tables.
 *
 * <p>Classes of this package must not perform I/O, read a clock or start threads: the time comes with each event, and
 * effects are returned as actions.
 */
package io.radishwinch.core.impl;
