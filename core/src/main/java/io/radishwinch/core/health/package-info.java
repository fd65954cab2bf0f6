/** Endpoint health: ejection, return and slow start. */
package io.radishwinch.core.health;
