/** Measuring programs: policies beside baselines, added latency, and the slopes of CAPACITY.md. */
package org.bergamotcross.bench;
