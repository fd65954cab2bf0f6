/**
 * A deployment of routers and stand-ins in one process, and the quickstart that runs on it.
 *
 * <p>For demonstrations and tests only; production code must not depend on it.
 */
package io.radishwinch.embedded;
