/** The port to the platform's object API and VM list, with call budgets and resolution of lost answers. */
package io.radishwinch.cluster.platform;
