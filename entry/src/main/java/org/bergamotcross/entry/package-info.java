/** The daemon of an entry instance, and the types that its plug-ins share. */
package org.bergamotcross.entry;
