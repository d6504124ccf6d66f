/**
 * Provides the kernel: settings, rings, duty threads, closer, plug-in registry, event log and
 * metrics.
 *
 * <p>The kernel depends on no plug-in. It discovers plug-ins with {@link java.util.ServiceLoader}
 * and calls them through {@link org.bergamotcross.kernel.Plugin}.
 */
package org.bergamotcross.kernel;
