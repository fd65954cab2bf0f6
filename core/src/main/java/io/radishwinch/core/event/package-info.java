/** Events that adapters pass to the decision core. Events are immutable facts and must not contain decisions. */
package io.radishwinch.core.event;
