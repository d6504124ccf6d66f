/** The plug-ins that run the duties of an entry instance. */
package org.bergamotcross.entry.duties;
