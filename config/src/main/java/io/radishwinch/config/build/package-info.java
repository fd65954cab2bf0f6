/** Identity of the build that a process runs. */
package io.radishwinch.config.build;
