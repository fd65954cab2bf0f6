/**
 * Immutable data shared by all modules: contracts, models, endpoints, layer ranges, chains, verdicts and reasons. Types
 * of this package must not depend on other packages of the core.
 */
package io.radishwinch.core.model;
