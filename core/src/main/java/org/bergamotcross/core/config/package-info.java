/** The configuration that operators publish: its parts, and the fold of the log into one state. */
package org.bergamotcross.core.config;
