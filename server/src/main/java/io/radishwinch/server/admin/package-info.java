/**
 * HTTP interface for operators, and the interface through which it accesses the router. Handlers must not block the
 * event loop.
 */
package io.radishwinch.server.admin;
