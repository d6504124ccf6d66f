/**
 * Stand-ins for the external systems of the fleet, the platform with its log and the targets, for
 * tests with fault injection.
 *
 * <p>The state of a stand-in is owned by one duty thread. HTTP threads translate requests into
 * messages for the ring of that duty, and its results into HTTP responses.
 */
package org.bergamotcross.standin;
