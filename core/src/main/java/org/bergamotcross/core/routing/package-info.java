/** Where a request runs: health of targets, choice, waiting and retries. */
package org.bergamotcross.core.routing;
