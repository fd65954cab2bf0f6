/** Immutable data shared by all modules: contracts, models, endpoints, layer ranges, chains, verdicts and reasons. */
package io.radishwinch.core.model;
