package org.bergamotcross.kernel;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Starts the plug-ins of a process and holds their shared resources.
 *
 * <pre>{@code
 * switch (Settings.read(file, Kernel.settingsOf(plugins), Kernel.rulesOf(plugins))) {
 *   case SettingsResult.Loaded loaded -> new Kernel(plugins, loaded.settings(), time).start();
 *   case SettingsResult.Rejected rejected -> rejected.problems().forEach(System.err::println);
 * }
 * }</pre>
 */
public final class Kernel implements AutoCloseable {
  private final List<Plugin> plugins;
  private final KernelContext context;

  /**
   * Creates a kernel that has not started its plug-ins yet.
   *
   * @param plugins the plug-ins, in start order
   * @param settings the validated settings
   * @param time the time source of the process
   */
  public Kernel(Collection<Plugin> plugins, Settings settings, TimeSource time) {
    this.plugins = List.copyOf(plugins);
    this.context = new KernelContext(settings, time);
  }

  /**
   * Discovers the plug-ins on the class path.
   *
   * @return the plug-ins in the order of the service files, without those that another plug-in
   *     replaces
   */
  public static List<Plugin> discoverPlugins() {
    List<Plugin> found =
        ServiceLoader.load(Plugin.class).stream().map(ServiceLoader.Provider::get).toList();
    Set<String> replaced = new LinkedHashSet<>();
    found.forEach(plugin -> replaced.addAll(plugin.replaces()));
    return found.stream().filter(plugin -> !replaced.contains(plugin.name())).toList();
  }

  /**
   * Returns the settings that the given plug-ins read.
   *
   * @param plugins the plug-ins
   * @return their settings without duplicates
   */
  public static List<Setting<?>> settingsOf(Collection<Plugin> plugins) {
    Set<Setting<?>> all = new LinkedHashSet<>();
    plugins.forEach(plugin -> all.addAll(plugin.settings()));
    return List.copyOf(all);
  }

  /**
   * Returns the validation rules of the given plug-ins.
   *
   * @param plugins the plug-ins
   * @return their rules
   */
  public static List<SettingRule> rulesOf(Collection<Plugin> plugins) {
    List<SettingRule> all = new ArrayList<>();
    plugins.forEach(plugin -> all.addAll(plugin.rules()));
    return all;
  }

  /**
   * Configures all plug-ins, then starts them in order.
   *
   * @throws PluginStartException if a plug-in can't open a resource; the resources that were opened
   *     are closed first
   */
  public void start() throws PluginStartException {
    plugins.forEach(plugin -> plugin.configure(context));
    for (Plugin plugin : plugins) {
      try {
        plugin.start(context);
      } catch (PluginStartException e) {
        close();
        throw e;
      }
      context.events.event("plugin.started").with("plugin", plugin.name()).emit();
    }
  }

  /**
   * Returns the context shared by the plug-ins.
   *
   * @return the context, for main classes and tests
   */
  public PluginContext context() {
    return context;
  }

  @Override
  public void close() {
    for (Closer.Failure failure : context.closer.closeAll()) {
      System.err.println("could not close " + failure.resource() + ": " + failure.cause());
    }
  }

  private static final class KernelContext implements PluginContext {
    private final Settings settings;
    private final TimeSource time;
    private final MetricRegistry metrics = new MetricRegistry();
    private final Closer closer = new Closer();
    private final EventLog events;
    private final Map<String, Ring<?>> rings = new ConcurrentHashMap<>();
    private final Map<String, List<Consumer<Object>>> subscribers = new ConcurrentHashMap<>();
    private final Map<Class<?>, Object> services = new ConcurrentHashMap<>();

    KernelContext(Settings settings, TimeSource time) {
      this.settings = settings;
      this.time = time;
      this.events = closer.register("event-log", new EventLog(metrics));
    }

    @Override
    public Settings settings() {
      return settings;
    }

    @Override
    public <T> Ring<T> openRing(Topic<T> topic, int capacity) {
      Ring<T> ring = new Ring<>(topic.name(), capacity);
      if (rings.putIfAbsent(topic.name(), ring) != null) {
        throw new IllegalStateException("the ring of topic " + topic.name() + " is already open");
      }
      metrics.register(
          MetricRegistry.name("ring", topic.name(), "size"), (Gauge<Integer>) ring::size);
      return ring;
    }

    // Safe: a ring is stored under the name of its topic, whose type parameter is the message type.
    @SuppressWarnings("unchecked")
    @Override
    public <T> Optional<Ring<T>> ring(Topic<T> topic) {
      return Optional.ofNullable((Ring<T>) rings.get(topic.name()));
    }

    // Safe: the receiver gets only messages published to the same broadcast, whose type parameter
    // is the message type.
    @SuppressWarnings("unchecked")
    @Override
    public <T> void subscribe(Broadcast<T> broadcast, Consumer<T> receiver) {
      subscribers
          .computeIfAbsent(broadcast.name(), name -> new CopyOnWriteArrayList<>())
          .add((Consumer<Object>) receiver);
    }

    @Override
    public <T> void publish(Broadcast<T> broadcast, T message) {
      subscribers.getOrDefault(broadcast.name(), List.of()).forEach(r -> r.accept(message));
    }

    @Override
    public <T> void provide(Class<T> type, T service) {
      if (services.putIfAbsent(type, service) != null) {
        throw new IllegalStateException(type.getName() + " already has a service");
      }
    }

    @Override
    public <T> Optional<T> service(Class<T> type) {
      return Optional.ofNullable(services.get(type)).map(type::cast);
    }

    @Override
    public <T> void startDuty(Topic<T> topic, DutyHandler<T> handler) {
      Ring<T> ring =
          ring(topic)
              .orElseThrow(
                  () ->
                      new IllegalStateException(
                          "the ring of topic " + topic.name() + " is not open"));
      Duty<T> duty = new Duty<>(topic.name(), ring, handler, time, events, metrics);
      closer.register("duty " + topic.name(), duty);
      duty.start();
    }

    @Override
    public EventLog events() {
      return events;
    }

    @Override
    public MetricRegistry metrics() {
      return metrics;
    }

    @Override
    public TimeSource time() {
      return time;
    }

    @Override
    public Closer closer() {
      return closer;
    }
  }
}
