/** Orders to engines: which layer ranges to load where. */
package io.radishwinch.core.placement;
