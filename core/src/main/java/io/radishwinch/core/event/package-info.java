/** Events that the decision core consumes. */
package io.radishwinch.core.event;
