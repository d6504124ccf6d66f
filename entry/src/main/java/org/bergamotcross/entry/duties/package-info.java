/** The plug-ins that decide: admission and routing, each one a duty with its own thread. */
package org.bergamotcross.entry.duties;
