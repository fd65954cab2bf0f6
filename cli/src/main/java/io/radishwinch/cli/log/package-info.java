/**
 * Analysis of collected router logs: the trace of one request and the counts of a day.
 *
 * <p>The package reads structured lines only and needs no connection to a router. It must accept logs of earlier
 * releases, so events and fields are matched by name.
 */
package io.radishwinch.cli.log;
