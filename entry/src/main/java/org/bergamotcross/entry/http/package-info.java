/**
 * HTTP connections of an entry instance: the server for callers and operators, and the target
 * client.
 */
package org.bergamotcross.entry.http;
