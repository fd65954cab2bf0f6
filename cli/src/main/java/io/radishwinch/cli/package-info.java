/**
 * The {@code radishwinch} command line for operators.
 *
 * <p>Commands use the routers' admin API or local files only; they don't connect to endpoints or the platform. Results
 * go to standard output, notes and errors to standard error, and every failure ends with a code of {@link ExitCode}.
 */
package io.radishwinch.cli;
