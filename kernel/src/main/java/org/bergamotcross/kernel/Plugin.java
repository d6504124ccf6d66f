package org.bergamotcross.kernel;

import java.util.List;
import java.util.Set;

/**
 * Contributes settings, duties and services to a process and registers itself with the kernel.
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
   * @return a name that is unique within the process; it identifies the plug-in in log lines and in
   *     {@link #replaces}
   */
  String name();

  /**
   * Returns the settings that this plug-in reads.
   *
   * @return the settings; a key in the file that no plug-in reads is an error
   */
  default List<Setting<?>> settings() {
    return List.of();
  }

  /**
   * Returns the plug-ins that this one replaces; the kernel doesn't start them.
   *
   * @return the names of the replaced plug-ins
   */
  default Set<String> replaces() {
    return Set.of();
  }

  /**
   * Returns validation rules that involve several settings.
   *
   * @return the rules; each one reports which values contradict each other
   */
  default List<SettingRule> rules() {
    return List.of();
  }

  /**
   * Opens rings, provides services and subscribes to broadcasts.
   *
   * @param context gives access to the resources of the process
   */
  void configure(PluginContext context);

  /**
   * Starts duties and listeners, after all plug-ins have been configured and have opened their
   * rings.
   *
   * @param context gives access to the resources of the process
   * @throws PluginStartException if a listener or another resource can't be opened
   */
  void start(PluginContext context) throws PluginStartException;
}
