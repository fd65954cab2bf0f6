/**
 * Endpoint health: ejection, readmission and slow start. This package must not access endpoints or the endpoint table
 * other than through {@link io.radishwinch.core.health.HealthView}.
 */
package io.radishwinch.core.health;
