/** Programs that {@code bin/quickstart} runs against real entry instances. */
package org.bergamotcross.bench.quickstart;
