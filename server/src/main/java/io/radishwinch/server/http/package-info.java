/** The interface towards callers: OpenAI-compatible completions and plain services over HTTP. */
package io.radishwinch.server.http;
