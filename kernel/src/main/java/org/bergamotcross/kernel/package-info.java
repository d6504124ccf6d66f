/**
 * The kernel: settings, rings, duty threads, closer, plug-in registry, event log and metrics.
 *
 * <p>The kernel knows no plug-in. Plug-ins are found by {@link java.util.ServiceLoader} and join
 * through {@link org.bergamotcross.kernel.Plugin}.
 */
package org.bergamotcross.kernel;
