/**
 * The platform as its published protocol shows it: the log, the list of instances, and the formats
 * of what the log holds. Also used by the command line.
 */
package org.bergamotcross.entry.platform;
