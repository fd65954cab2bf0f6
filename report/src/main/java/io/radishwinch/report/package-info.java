/**
 * Day summaries and the evening report made from them.
 *
 * <p>Routers record a summary of each day; the summaries of all routers merge in any order to the same result. This
 * package does no I/O of its own: it encodes, decodes and renders, and its callers read and write the bytes.
 */
package io.radishwinch.report;
