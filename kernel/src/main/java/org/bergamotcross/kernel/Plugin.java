package org.bergamotcross.kernel;

import java.util.List;
import java.util.Set;

/**
 * A part of a process that registers itself with the kernel.
 *
 * <p>Plug-ins are listed in {@code META-INF/services/org.bergamotcross.kernel.Plugin}. The kernel
 * calls {@link #configure} on all of them, then {@link #start} on all of them.
 *
 * <pre>{@code
 * public final class HealthPlugin implements Plugin {
 *   public String name() { return "health"; }
 *   public void configure(PluginContext context) { context.open(Topics.HEALTH, 4096); }
 *   public void start(PluginContext context) { context.startDuty(Topics.HEALTH, handler); }
 * }
 * }</pre>
 */
public interface Plugin {

  /**
   * Returns the name of the plug-in.
   *
   * @return a name unique in the process, for log lines
   */
  String name();

  /**
   * Returns the settings that this plug-in reads.
   *
   * @return the settings; any other key in the file is an error unless another plug-in reads it
   */
  default List<Setting<?>> settings() {
    return List.of();
  }

  /**
   * Returns the plug-ins whose duty this one takes over; they are left out when it is found.
   *
   * @return the names of other plug-ins
   */
  default Set<String> replaces() {
    return Set.of();
  }

  /**
   * Returns checks that need more than one value.
   *
   * @return the rules; each one names the values that contradict each other
   */
  default List<SettingRule> rules() {
    return List.of();
  }

  /**
   * Opens rings, provides services and subscribes to broadcasts.
   *
   * @param context the kernel's side of this plug-in
   */
  void configure(PluginContext context);

  /**
   * Starts duties and listeners; the rings of all plug-ins are open by now.
   *
   * @param context the kernel's side of this plug-in
   * @throws PluginStartException if a listener or another resource can't be opened
   */
  void start(PluginContext context) throws PluginStartException;
}
