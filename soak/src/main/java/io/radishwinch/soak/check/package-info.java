/**
 * Checks of promises over the record of what callers and endpoints saw. They share no code with the router, and one
 * class checks one promise.
 */
package io.radishwinch.soak.check;
