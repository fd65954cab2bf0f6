/** Reading of YAML documents with errors that name file, line and path. */
package io.radishwinch.config;
