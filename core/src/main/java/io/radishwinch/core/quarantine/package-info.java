/**
 * Detection of poison requests, which crash the endpoints that run them.
 *
 * <p>Requests are identified by fingerprint only; classes of this package never see or store their content.
 */
package io.radishwinch.core.quarantine;
