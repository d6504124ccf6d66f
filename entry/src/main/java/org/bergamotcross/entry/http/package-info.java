/** HTTP at the edges of an entry instance: callers, targets and operators. */
package org.bergamotcross.entry.http;
