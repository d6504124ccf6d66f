/** Load balancing: target health, choice of a target, queueing and retries. */
package org.bergamotcross.core.routing;
