/** Operators' HTTP interface and the port through which it reaches the router. */
package io.radishwinch.server.admin;
