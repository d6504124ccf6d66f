/**
 * Stand-ins for the systems around the fleet: the platform with its log, and targets.
 *
 * <p>Each stand-in has one duty thread that owns its state. HTTP threads turn requests into
 * messages for the ring of that duty and its answers into responses.
 */
package org.bergamotcross.standin;
