/**
 * The router process: connects the decision core and the cluster state to their adapters. This package makes no routing
 * decisions.
 */
package io.radishwinch.server;
