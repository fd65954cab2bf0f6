/**
 * Plays scenarios: starts routers as processes, the stand-ins that they need and callers, records what callers and
 * endpoints see, and checks it against the promises to callers.
 */
package io.radishwinch.soak;
