/**
 * HTTP interface for callers: OpenAI-compatible completions and plain services. This package makes no routing
 * decisions; it submits requests to the control loop and carries out its actions.
 */
package io.radishwinch.server.http;
