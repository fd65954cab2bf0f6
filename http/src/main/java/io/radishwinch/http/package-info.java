/**
 * Decoding of the HTTP/1.1 responses that clients of this project read; responses that break the grammar are rejected.
 * See docs/decisions/0020-strict-http.md.
 */
package io.radishwinch.http;
