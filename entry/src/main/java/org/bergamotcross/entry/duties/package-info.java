/** The duties of an entry instance that run the decisions of core on threads of their own. */
package org.bergamotcross.entry.duties;
