/**
 * Actions that the decision core requests from its adapters. Actions are immutable and must not perform the work
 * themselves.
 */
package io.radishwinch.core.action;
