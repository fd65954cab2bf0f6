/** Actions that the decision core requests from its adapters. */
package io.radishwinch.core.action;
