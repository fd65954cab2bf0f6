/** The table-based implementation of the decision core. */
package io.radishwinch.core.impl;
