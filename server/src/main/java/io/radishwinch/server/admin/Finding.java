package io.radishwinch.server.admin;

/**
 * A mismatch between a contract and the fleet or its configuration.
 *
 * @param path field of the contract
 * @param message value in the contract and the value that the fleet provides
 * @param hint suggested remedy
 * @param error whether the contract is rejected because of it; otherwise it is a warning
 */
record Finding(String path, String message, String hint, boolean error) {}
