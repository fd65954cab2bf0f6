/**
 * Shares of the limits that all routers of a fleet enforce together. It computes shares only; the callers enforce them.
 */
package io.radishwinch.cluster.allotment;
