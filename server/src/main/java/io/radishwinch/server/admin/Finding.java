package io.radishwinch.server.admin;

/**
 * A statement of a contract that does not fit the fleet.
 *
 * @param path field of the contract
 * @param message what is stated and what the fleet has
 * @param hint what to do
 * @param error whether the contract is refused for it
 */
record Finding(String path, String message, String hint, boolean error) {}
