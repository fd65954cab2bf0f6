/** Detection of requests that crash the endpoints that run them. */
package io.radishwinch.core.quarantine;
