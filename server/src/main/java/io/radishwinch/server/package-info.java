/** The router process: wiring of the decision core and the cluster state to their adapters. */
package io.radishwinch.server;
