/** Contracts, models and plain services as operators write them. */
package io.radishwinch.config.contract;
