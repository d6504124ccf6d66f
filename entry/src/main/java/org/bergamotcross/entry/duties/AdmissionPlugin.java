package org.bergamotcross.entry.duties;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.bergamotcross.core.config.Configuration;
import org.bergamotcross.entry.AdmissionInput;
import org.bergamotcross.entry.Broadcasts;
import org.bergamotcross.entry.Broadcasts.Freshness;
import org.bergamotcross.entry.EntrySettings;
import org.bergamotcross.entry.RoutingInput;
import org.bergamotcross.entry.Topics;
import org.bergamotcross.kernel.Plugin;
import org.bergamotcross.kernel.PluginContext;
import org.bergamotcross.kernel.Ring;
import org.bergamotcross.kernel.Setting;

/** Runs the admission duty: key, organisation, route, permission and deadline of each request. */
public final class AdmissionPlugin implements Plugin {
  private final AtomicReference<Configuration> configuration =
      new AtomicReference<>(Configuration.EMPTY);
  private final AtomicReference<Optional<Freshness>> freshness =
      new AtomicReference<>(Optional.empty());

  @Override
  public String name() {
    return "admission";
  }

  @Override
  public List<Setting<?>> settings() {
    return List.of(EntrySettings.RING_CAPACITY, EntrySettings.MAX_TIMEOUT_MS);
  }

  @Override
  public void configure(PluginContext context) {
    context.open(Topics.ADMISSION, context.settings().value(EntrySettings.RING_CAPACITY));
    context.subscribe(Broadcasts.CONFIGURATION, configuration::set);
    context.subscribe(Broadcasts.FRESHNESS, f -> freshness.set(Optional.of(f)));
  }

  @Override
  public void start(PluginContext context) {
    Ring<RoutingInput> routing =
        context
            .ring(Topics.ROUTING)
            .orElseThrow(() -> new IllegalStateException("no plug-in opened the routing topic"));
    Duration maxTimeout = Duration.ofMillis(context.settings().value(EntrySettings.MAX_TIMEOUT_MS));
    context.<AdmissionInput>startDuty(
        Topics.ADMISSION,
        new AdmissionDuty(configuration::get, freshness::get, maxTimeout, routing));
  }
}
