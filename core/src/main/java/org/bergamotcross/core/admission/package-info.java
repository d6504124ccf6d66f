/** Admission of requests: keys and routes, fleet-wide rate limits, and idempotency-key claims. */
package org.bergamotcross.core.admission;
