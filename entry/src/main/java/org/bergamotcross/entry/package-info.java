/** The entry instance: its daemon, and what its plug-ins share. */
package org.bergamotcross.entry;
