/**
 * Parses and validates the contracts, models and plain services that operators write.
 *
 * <p>Performs no I/O; callers pass in the text of a document.
 */
package io.radishwinch.config.contract;
