/**
 * Port to the platform's object API and VM list, with call budgets and the resolution of lost responses. HTTP is not
 * part of it.
 */
package io.radishwinch.cluster.platform;
