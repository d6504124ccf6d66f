/**
 * Configuration that operators publish, and the fold of the log into the configuration in force.
 */
package org.bergamotcross.core.config;
