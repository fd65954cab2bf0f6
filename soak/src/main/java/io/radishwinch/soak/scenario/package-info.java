/** Scenario files: what a soak plays. */
package io.radishwinch.soak.scenario;
