/** The plug-ins that run the duties of an entry instance, each duty on its own thread. */
package org.bergamotcross.entry.duties;
