/** Settings of one router process. */
package io.radishwinch.config.settings;
