/** A whole deployment with stand-ins in one process, and the quickstart that runs on it. */
package io.radishwinch.embedded;
