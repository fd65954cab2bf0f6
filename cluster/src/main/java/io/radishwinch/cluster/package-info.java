/** Membership, configuration distribution, shared limits and the at-most-once journal. */
package io.radishwinch.cluster;
