/** The plug-ins that run the duties of an entry instance, each one with its own thread. */
package org.bergamotcross.entry.duties;
