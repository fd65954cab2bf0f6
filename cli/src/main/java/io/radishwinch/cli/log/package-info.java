/** What the log lines of routers tell of one request, and of a whole day. */
package io.radishwinch.cli.log;
