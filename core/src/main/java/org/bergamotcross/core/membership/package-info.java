/**
 * Fleet membership: failure detection, delegation of shares, and freshness of the configuration.
 */
package org.bergamotcross.core.membership;
