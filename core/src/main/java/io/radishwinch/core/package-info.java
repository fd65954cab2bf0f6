/**
 * The decision core: events and the current time go in, actions come out. It performs no I/O, reads no clock and starts
 * no thread, so the same sequence of events always yields the same sequence of actions.
 */
package io.radishwinch.core;
