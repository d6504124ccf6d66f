/**
 * Access to the platform over its published protocol: the log, the instance list, and the formats
 * of the log's records. The command line uses it too.
 */
package org.bergamotcross.entry.platform;
