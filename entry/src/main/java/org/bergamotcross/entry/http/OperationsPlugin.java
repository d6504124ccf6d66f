package org.bergamotcross.entry.http;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.pekko.actor.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.PluginStartException;
import org.bergamotcross.kernel.Setting;
import org.bergamotcross.kernel.SettingRule;

/** Serves health, metrics and status pages on the operations port. */
public final class OperationsPlugin implements Plugin {
  private final AtomicReference<Configuration> configuration =
      new AtomicReference<>(Configuration.EMPTY);
  private final AtomicReference<Optional<Freshness>> freshness =
      new AtomicReference<>(Optional.empty());
  private volatile boolean stopping;

  @Override
  public String name() {
    return "operations";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(
        EntrySettings.INSTANCE_ID,
        EntrySettings.FAILURE_DOMAIN,
        EntrySettings.OPERATIONS_ADDRESS,
        EntrySettings.READY_PATH,
        EntrySettings.CALLER_ADDRESS,
        EntrySettings.PEER_ADDRESS,
        EntrySettings.PLATFORM_ADDRESS);
  }

  @Override
  public List<SettingRule> rules() {
    return ListeningSockets.distinctFrom(
        EntrySettings.OPERATIONS_ADDRESS,
        List.of(
            EntrySettings.CALLER_ADDRESS,
            EntrySettings.PEER_ADDRESS,
            EntrySettings.PLATFORM_ADDRESS));
  }

  @Override
  public void configure(PluginContext context) {
    context.subscribe(Broadcasts.CONFIGURATION, configuration::set);
    context.subscribe(Broadcasts.FRESHNESS, f -> freshness.set(Optional.of(f)));
    context.subscribe(Broadcasts.SHUTDOWN, s -> stopping = true);
  }

  @Override
  public void start(PluginContext context) throws PluginStartException {
    InetSocketAddress address = context.settings().value(EntrySettings.OPERATIONS_ADDRESS);
    ActorSystem system = PluginServices.actorSystem(context);
    OperationsPages pages =
        new OperationsPages(context, configuration::get, freshness::get, () -> stopping);
    ServerBinding binding =
        ListeningSockets.awaitBinding(
            Http.get(system)
                .newServerAt(address.getAddress().getHostAddress(), address.getPort())
                .bindSync(pages::answer),
            address,
            "[listen] operations");
    context.closer().register("operations listener", binding::unbind);
  }
}
