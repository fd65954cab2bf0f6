/** The radishwinch command line. */
package io.radishwinch.cli;
