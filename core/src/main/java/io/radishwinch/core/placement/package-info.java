/**
 * Placement of models: decides which layer ranges, adapters and versions each engine loads.
 *
 * <p>Classes of this package compute orders but do not send them, and must not read a clock: the time is a parameter.
 */
package io.radishwinch.core.placement;
