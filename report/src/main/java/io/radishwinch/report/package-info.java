/** Mergeable day summaries and the evening page. */
package io.radishwinch.report;
