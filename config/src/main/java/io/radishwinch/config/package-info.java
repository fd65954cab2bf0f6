/** YAML settings, contracts, models and services, parsed and checked. */
package io.radishwinch.config;
