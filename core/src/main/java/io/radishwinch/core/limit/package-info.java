/** Rate limits as pure state: callers pass the time in, and nothing here reads a clock. */
package io.radishwinch.core.limit;
