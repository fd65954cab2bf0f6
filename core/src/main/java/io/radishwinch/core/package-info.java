/**
 * The decision core, which turns events and the current time into actions. It must not perform I/O, read a clock or
 * start threads, so that the same sequence of events always yields the same sequence of actions.
 */
package io.radishwinch.core;
