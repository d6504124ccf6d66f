/** Who may run a request: keys, rates over the whole fleet, and claims of idempotency keys. */
package org.bergamotcross.core.admission;
