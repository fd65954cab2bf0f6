/**
 * Defines, parses and validates the settings of one router process.
 *
 * <p>Reads no files and applies no settings; callers pass in the text and use the result.
 */
package io.radishwinch.config.settings;
