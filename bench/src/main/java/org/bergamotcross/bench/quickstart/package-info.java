/** The programs that {@code bin/quickstart} runs around the real daemons. */
package org.bergamotcross.bench.quickstart;
