/**
 * Reads YAML documents field by field and reports errors with file, line and path.
 *
 * <p>Knows nothing of the documents' schemas; those belong to the subpackages.
 */
package io.radishwinch.config;
