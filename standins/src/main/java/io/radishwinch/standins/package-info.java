/**
 * In-process stand-ins for the platform, model engines and plain services, for tests, benchmarks and the quickstart.
 *
 * <p>They simulate timing and faults. They must not use the clients of the router that are tested against them.
 */
package io.radishwinch.standins;
