/** Makes exceptions that no test looks at fail the test during which they are logged. */
package io.radishwinch.server.logguard;
