/** The instances that share the work: who is a member, who holds what, and who is fresh. */
package org.bergamotcross.core.membership;
