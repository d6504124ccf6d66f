/** Benchmarks: policy simulations, added latency, and the cost slopes listed in CAPACITY.md. */
package org.bergamotcross.bench;
